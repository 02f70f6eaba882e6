// Delivery of answers to callers that read slowly: a connection must not be closed while output is unsent.

#include "callerconnection.h"

#include <array>
#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/write.hpp>

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

/// A connection with small socket buffers on both sides: output that does not fit stays in the CallerConnection.
struct Pair {
    explicit Pair(CallerLimits limits = {})
        : acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), caller(context)
    {
        constexpr int smallBuffer = 4096;
        this->acceptor.set_option(asio::socket_base::send_buffer_size(smallBuffer));
        this->caller.open(Tcp::v4());
        this->caller.set_option(asio::socket_base::receive_buffer_size(smallBuffer));
        this->caller.connect(this->acceptor.local_endpoint());
        Tcp::socket accepted = this->acceptor.accept();
        this->connection = std::make_shared<CallerConnection>(std::move(accepted), limits);
        this->connection->start({});
    }

    void run()
    {
        this->context.restart();
        while (this->context.run_one_for(std::chrono::milliseconds(50)) > 0) {
        }
    }

    asio::io_context context;
    Tcp::acceptor acceptor;
    Tcp::socket caller;
    std::shared_ptr<CallerConnection> connection;
};

constexpr std::size_t bodySize = 1 << 20;

void answer(Pair &pair)
{
    HttpResponseHead head;
    head.status = 200;
    head.length = bodySize;
    pair.connection->beginAnswer(head, BodyFraming::Length, true);
    pair.connection->writeBody(std::string(bodySize, 'x'));
    pair.connection->finishAnswer();
    pair.run();
}

/// @return number of bytes read until the connection closed or all output was delivered
std::size_t readAll(Pair &pair)
{
    std::size_t size = 0;
    std::array<char, 65536> space {};
    NetError error;
    while (!error && pair.connection->isDelivering()) {
        size += pair.caller.read_some(asio::buffer(space), error);
        pair.context.restart();
        pair.context.poll();
    }
    return size;
}

} // namespace

// Guards against truncated answers at shutdown: if shutdown waits for open requests only, it closes the connection
// while the end of a finished answer is still unsent.
Test(callerconnection, anUnsentAnswerIsBeingDelivered)
{
    Pair pair;
    cr_assert_not(pair.connection->isDelivering());
    answer(pair);
    cr_assert(pair.connection->isDelivering());
    cr_assert_gt(readAll(pair), bodySize / 2);
    cr_assert_not(pair.connection->isDelivering());
}

Test(callerconnection, theLastAnswerIsDeliveredWhenTheCallerCloses)
{
    Pair pair;
    pair.connection->closing = true;
    answer(pair);
    std::array<char, 65536> space {};
    NetError error;
    std::size_t size = 0;
    while (!error) {
        pair.context.restart();
        pair.context.poll();
        size += pair.caller.read_some(asio::buffer(space), error);
    }
    cr_assert_gt(size, bodySize);
    cr_assert(pair.connection->isDelivering(), "the caller has not closed");
    pair.caller.close();
    pair.run();
    cr_assert_not(pair.connection->isDelivering());
}

// Guards against truncated chunked answers at shutdown: the end of the answer waits for the write in progress, even if
// the caller reads at once. If shutdown waits for open requests only, it closes the connection before the last chunk.
Test(callerconnection, anAnswerEndBehindAPendingWriteIsBeingDelivered)
{
    Pair pair;
    HttpResponseHead head;
    head.status = 200;
    pair.connection->beginAnswer(head, BodyFraming::Chunked, true);
    pair.connection->writeBody("piece");
    pair.connection->finishAnswer();
    cr_assert(pair.connection->isDelivering());
    pair.connection->abort();
    std::array<char, 4096> space {};
    NetError error;
    std::string got;
    while (!error) {
        got.append(space.data(), pair.caller.read_some(asio::buffer(space), error));
    }
    cr_assert_not(got.ends_with("0\r\n\r\n"), "the last chunk must still be unsent at the abort: %s", got.c_str());
}

// Closing an idle connection at once resets it if a request is just arriving.
Test(callerconnection, anIdleConnectionIsClosedForSendingFirst)
{
    Pair pair;
    pair.connection->closeWhenIdle();
    while (!pair.connection->isDelivering()) {
        pair.run();
    }
    asio::write(pair.caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    pair.run();
    std::array<char, 16> space {};
    NetError error;
    pair.caller.read_some(asio::buffer(space), error);
    cr_assert(error == asio::error::eof, "%s", error.message().c_str());
}

// An unsent answer would be truncated by the close of its connection.
Test(callerconnection, aConnectionWithUnsentOutputIsNotIdle)
{
    CallerLimits limits;
    limits.idleTimeout = milliseconds(100);
    Pair pair(limits);
    answer(pair);
    pair.context.run_for(2 * keepAliveTimes(limits.idleTimeout).idleClose);
    cr_assert(pair.connection->isDelivering());
    cr_expect_gt(readAll(pair), bodySize / 2);
    cr_expect_not(pair.connection->isDelivering(), "the rest is in the buffers of the sockets");
}

// As a connection with unsent output has no idle limit, only the timeout of the socket ends it.
Test(callerconnection, aCallerThatNeverReadsIsGivenUp)
{
    CallerLimits limits;
    limits.idleTimeout = milliseconds(100);
    Pair pair(limits);
    answer(pair);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (pair.connection->isDelivering() && std::chrono::steady_clock::now() < end) {
        pair.run();
    }
    cr_expect_not(pair.connection->isDelivering());
}
