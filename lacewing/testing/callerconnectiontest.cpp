// A caller's connection whose other side reads late.

#include "callerconnection.h"

#include <array>
#include <memory>
#include <string>

#include <boost/asio/write.hpp>

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

/// A connection with small buffers on both sides: what does not fit waits with us.
struct Pair {
    Pair() : acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), caller(context)
    {
        constexpr int smallBuffer = 4096;
        this->acceptor.set_option(asio::socket_base::send_buffer_size(smallBuffer));
        this->caller.open(Tcp::v4());
        this->caller.set_option(asio::socket_base::receive_buffer_size(smallBuffer));
        this->caller.connect(this->acceptor.local_endpoint());
        Tcp::socket accepted = this->acceptor.accept();
        this->connection = std::make_shared<CallerConnection>(std::move(accepted), CallerLimits {});
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
    HttpAnswerHead head;
    head.status = 200;
    head.length = bodySize;
    pair.connection->beginAnswer(head, BodyFraming::Length, true);
    pair.connection->writeBody(std::string(bodySize, 'x'));
    pair.connection->finishAnswer();
    pair.run();
}

/// @return bytes that came until the other side closed, or until the connection is delivered
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

// A stop that counts open requests alone closes the connection with the end of the answer unwritten.
Test(callerconnection, anAnswerThatIsNotWrittenYetIsBeingDelivered)
{
    Pair pair;
    cr_assert_not(pair.connection->isDelivering());
    answer(pair);
    cr_assert(pair.connection->isDelivering());
    cr_assert_gt(readAll(pair), bodySize / 2);
    cr_assert_not(pair.connection->isDelivering());
}

Test(callerconnection, theLastAnswerIsDeliveredOnceTheCallerCloses)
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

// A stop that counted open requests alone closed the connection between the last piece of an answer and its end: what
// is written while an earlier write is in progress waits for it, also when the caller reads at once.
Test(callerconnection, theEndOfAnAnswerThatWaitsForAnEarlierWriteIsBeingDelivered)
{
    Pair pair;
    HttpAnswerHead head;
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
    cr_assert_not(got.ends_with("0\r\n\r\n"), "what a close at that moment would cost: %s", got.c_str());
}

// An idle connection that was closed at once reset the request that was just arriving.
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
