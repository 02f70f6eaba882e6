// One TCP connection between two VMs, either side of it. It carries PeerFrames both ways; what they
// mean is the business of PeerLinks (peerlink.h).
//
// Frames sent within one turn of the event loop leave in one write.

#pragma once

#include "netaddress.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "lacewing_types.h"

namespace lacewing {

class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /// @param connected the socket
    /// @param largest largest frame accepted
    PeerConnection(Tcp::socket connected, std::size_t largest);

    /// Starts reading. Set onFrame and onClosed before.
    void start();

    /// Queues a frame.
    /// @param frame what to send
    /// @return place of its first byte in all that was queued on this connection
    std::uint64_t send(const wire::PeerFrame &frame);

    /// Closes the connection; onClosed is called once, soon.
    void close();

    /// @param place as returned by send()
    /// @return true if it is proved that no byte of that frame has left
    bool neverLeft(std::uint64_t place) const;

    /// @return bytes queued and not yet handed to the kernel
    std::size_t pendingBytes() const;

    /// Called for each frame, in order.
    std::function<void(wire::PeerFrame &)> onFrame;
    /// Called once when the connection is closed, by whichever side.
    std::function<void()> onClosed;

private:
    asio::awaitable<void> readLoop(std::shared_ptr<PeerConnection> self);
    bool takeFrames();
    void flush();
    void writeNext();

    Tcp::socket socket;
    std::size_t largestFrame;
    std::string input;
    std::string pending; ///< not yet given to a write
    std::string writing; ///< given to the write in progress
    std::uint64_t queued = 0; ///< bytes ever queued
    std::uint64_t begun = 0; ///< bytes of which the write has begun
    bool flushPosted = false;
    bool closed = false;
};

} // namespace lacewing
