// Serves one request per connection. Each connection has its own thread, so a handler that blocks delays no other
// connection.

#include "fakehttpserver.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace lacewing {

namespace {

namespace asio = boost::asio;
using Socket = asio::ip::tcp::socket;

void serve(Socket socket, const FakeHttpServer::Handler &handler)
{
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::string_body> request;
    boost::beast::http::read(socket, buffer, request, error);
    if (error) {
        return;
    }
    const std::string target = std::string(request.method_string()) + " " + std::string(request.target());
    const std::optional<FakeReply> reply = handler({target, request.body()});
    if (!reply) {
        return;
    }
    boost::beast::http::response<boost::beast::http::string_body> response;
    response.result(static_cast<unsigned>(reply->status));
    response.body() = reply->body;
    response.set("Connection", "close");
    response.prepare_payload();
    boost::beast::http::write(socket, response, error);
    socket.shutdown(Socket::shutdown_send, error);
}

} // namespace

struct FakeHttpServer::Listener {
    Listener() : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopped {false};
};

FakeHttpServer::FakeHttpServer(Handler answerFunction)
    : handler(std::move(answerFunction)), listener(std::make_unique<Listener>())
{
    this->thread = std::thread([this] { this->run(); });
}

FakeHttpServer::~FakeHttpServer()
{
    this->listener->stopped = true;
    boost::system::error_code error;
    asio::io_context context;
    Socket waker(context);
    waker.connect(this->listener->acceptor.local_endpoint(), error);
    this->thread.join();
}

HostPort FakeHttpServer::address() const
{
    return {"127.0.0.1", this->listener->acceptor.local_endpoint().port()};
}

void FakeHttpServer::run()
{
    std::vector<std::thread> connections;
    while (true) {
        boost::system::error_code error;
        Socket socket = this->listener->acceptor.accept(error);
        if (this->listener->stopped || error) {
            break;
        }
        connections.emplace_back(
            [this, moved = std::move(socket)]() mutable { serve(std::move(moved), this->handler); });
    }
    for (std::thread &connection : connections) {
        connection.join();
    }
}

HostPort freeAddress()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

} // namespace lacewing
