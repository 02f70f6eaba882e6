// Two buffers: frames gather in one while the other is being written. Their sum is bounded by what
// PeerLinks lets in and by the credit of each stream. The proof that a frame never left is its place in
// the byte count: a frame whose first byte lies at or behind the writes begun cannot have been seen.

#include "peerconnection.h"

#include <algorithm>
#include <string_view>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "codec.h"
#include "peerframe.h"
#include "sizes.h"

namespace lacewing {

namespace {

constexpr std::size_t readSize = 16 * kibibyte;

} // namespace

PeerConnection::PeerConnection(Tcp::socket connected, std::size_t largest)
    : socket(std::move(connected)), largestFrame(largest)
{
    tuneSocket(this->socket);
}

void PeerConnection::start()
{
    asio::co_spawn(this->socket.get_executor(), this->readLoop(this->shared_from_this()), asio::detached);
}

asio::awaitable<void> PeerConnection::readLoop([[maybe_unused]] std::shared_ptr<PeerConnection> self)
{
    NetError error;
    while (!error && !this->closed) {
        const std::size_t used = this->input.size();
        this->input.resize(used + readSize);
        const auto space = asio::buffer(this->input.data() + used, readSize);
        const std::size_t size = co_await this->socket.async_read_some(space, awaitInto(error));
        this->input.resize(used + size);
        if (!error && !this->takeFrames()) {
            break;
        }
    }
    this->close();
    if (this->onClosed) {
        const auto notify = std::exchange(this->onClosed, nullptr);
        this->onFrame = nullptr;
        notify();
    }
}

bool PeerConnection::takeFrames()
{
    std::string_view rest = this->input;
    std::string_view bytes;
    FrameScan scan = takeFrame(rest, this->largestFrame, bytes);
    while (scan == FrameScan::Whole && !this->closed) {
        wire::PeerFrame frame;
        if (decode(bytes, frame)) {
            return false;
        }
        this->onFrame(frame);
        scan = takeFrame(rest, this->largestFrame, bytes);
    }
    this->input.erase(0, this->input.size() - rest.size());
    if (this->input.empty() && this->input.capacity() > 2 * readSize) {
        this->input.shrink_to_fit();
    }
    return scan == FrameScan::Incomplete;
}

std::uint64_t PeerConnection::send(const wire::PeerFrame &frame)
{
    const std::uint64_t place = this->queued;
    if (this->closed) {
        return place;
    }
    const std::size_t before = this->pending.size();
    appendFrame(frame, this->pending);
    this->queued += this->pending.size() - before;
    if (!this->flushPosted) {
        this->flushPosted = true;
        asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->flush(); });
    }
    return place;
}

void PeerConnection::flush()
{
    this->flushPosted = false;
    if (this->writing.empty()) {
        this->writeNext();
    }
}

void PeerConnection::writeNext()
{
    if (this->pending.empty() || this->closed) {
        return;
    }
    std::swap(this->pending, this->writing);
    this->begun += this->writing.size();
    const auto written = [self = this->shared_from_this()](const NetError &error, std::size_t) {
        self->writing.clear();
        if (error) {
            self->close();
            return;
        }
        self->writeNext();
    };
    asio::async_write(this->socket, asio::buffer(this->writing), written);
}

void PeerConnection::close()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    NetError ignored; // it may be closed already
    this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
}

bool PeerConnection::neverLeft(std::uint64_t place) const
{
    return place >= this->begun;
}

std::size_t PeerConnection::pendingBytes() const
{
    return this->pending.size() + this->writing.size();
}

} // namespace lacewing
