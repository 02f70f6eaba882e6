// The connections to the other entry VMs. A stream, that is one attempt of a request, lives on the
// connection that its offer was sent on: data, end and credit come back on it, so when it breaks both
// sides know exactly which attempts are lost. Each VM dials the ones it has something for.
//
//   PeerLinks links(context, settings, handlers);
//   links.listen();
//   links.offer("vm-2", frame, true);

#pragma once

#include "netaddress.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "resultcode.h"
#include "types.h"

namespace lacewing {

class PeerConnection;

struct PeerSettings {
    VmId vm; ///< name of this VM
    std::int64_t incarnation = 0;
    std::string listenAddress; ///< numeric host:port
    std::string token; ///< shared by all VMs
    std::size_t largestFrame = std::size_t {8} * 1024 * 1024;
    std::size_t mostPending = std::size_t {16} * 1024 * 1024; ///< bytes queued on one connection
    std::size_t mostIncoming = 2048; ///< connections accepted at a time
    Duration connectTimeout = milliseconds(1000);
    Duration helloTimeout = milliseconds(2000);
    Duration redialDelay = milliseconds(200); ///< after a connection that could not be made
};

/// What the runtime does with what comes from peers. All are called on the thread of the context.
struct PeerHandlers {
    std::function<std::string(const VmId &)> addressOf; ///< from the VM list; empty: unknown
    // for attempts offered by others
    std::function<void(const VmId &, wire::OfferFrame &)> offered;
    std::function<void(const VmId &, const AttemptId &)> cancelled;
    std::function<void(const AttemptId &, std::int64_t)> credited;
    // for attempts offered by this VM
    std::function<void(const AttemptId &)> accepted;
    std::function<void(wire::DataFrame &)> data;
    std::function<void(const AttemptId &, wire::AttemptResult &)> ended;
    // neither
    std::function<void(const VmId &, wire::ControlMessage &)> control;
    std::function<void(const VmId &)> lost;
};

class PeerLinks
{
public:
    PeerLinks(asio::io_context &context, PeerSettings peerSettings, PeerHandlers peerHandlers);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// @return what kept it from listening, if anything
    NetError listen();
    /// @return the port listened on
    std::uint16_t port() const;
    /// Closes all.
    void close();

    /// Offers an attempt; its end always comes back through handlers.ended.
    /// @param to the owner
    /// @param frame the offer with head and body
    void offer(const VmId &to, wire::OfferFrame frame);
    /// @param to the owner
    /// @param attempt no longer wanted; nothing more is heard of it
    void cancel(const VmId &to, const AttemptId &attempt);
    /// @param to the owner
    /// @param attempt whose data was consumed
    /// @param bytes how much
    void credit(const VmId &to, const AttemptId &attempt, std::int64_t bytes);

    /// @param attempt offered by another VM and now queued
    void accept(const AttemptId &attempt);
    /// @param frame data of an attempt offered by another VM
    void sendData(wire::DataFrame frame);
    /// @param attempt offered by another VM
    /// @param result how it ended
    void end(const AttemptId &attempt, const wire::AttemptResult &result);

    /// @param to any VM
    /// @param message dropped if the VM can't be reached; the decisions send again
    void control(const VmId &to, wire::ControlMessage message);

private:
    struct Outgoing;
    struct Incoming;

    Outgoing &outgoing(const VmId &vm);
    void sendOut(const VmId &to, const wire::PeerFrame &frame);
    asio::awaitable<void> dial(std::shared_ptr<Outgoing> link);
    asio::awaitable<NetError> connectTo(Tcp::socket &socket, const std::string &address);
    void startOutgoing(const std::shared_ptr<Outgoing> &link, Tcp::socket socket);
    void receiveOutgoing(Outgoing &link, wire::PeerFrame &frame);
    void loseOutgoing(Outgoing &link);
    void endOffer(const AttemptId &attempt, AttemptOutcome outcome, ResultCode code);

    asio::awaitable<void> acceptLoop();
    void startIncoming(Tcp::socket socket);
    void receiveIncoming(const std::shared_ptr<Incoming> &link, wire::PeerFrame &frame);
    void receiveOffer(const std::shared_ptr<Incoming> &link, wire::OfferFrame &frame);
    bool acceptHello(Incoming &link, const wire::PeerFrame &frame);
    void loseIncoming(const std::shared_ptr<Incoming> &link);
    wire::PeerFrame helloFrame() const;

    asio::io_context &context;
    PeerSettings settings;
    PeerHandlers handlers;
    Tcp::acceptor acceptor;
    std::unordered_map<VmId, std::shared_ptr<Outgoing>> outgoingLinks;
    std::unordered_map<Incoming *, std::shared_ptr<Incoming>> incomingLinks;
    std::unordered_map<AttemptId, std::weak_ptr<Incoming>, AttemptIdHash> streams; ///< offered by others
    bool closing = false;
};

} // namespace lacewing
