// Plain blocking sockets, a thread for each connection: what it does is as easy to follow as a transcript.

#include "fakeengine.h"

#include <utility>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

void writeAll(Tcp::socket &socket, const std::string &text)
{
    Error ignored; // the other side may have closed
    asio::write(socket, asio::buffer(text), ignored);
}

std::string chunk(const std::string &text)
{
    constexpr std::size_t longest = 20;
    char size[longest];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace

FakeEngine::FakeEngine()
    : acceptor(this->context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), thread([this] { this->serve(); })
{
}

FakeEngine::~FakeEngine()
{
    this->stopping = true;
    Error ignored; // only wakes the accept
    Tcp::socket socket(this->context);
    socket.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
    for (std::thread &each : this->connections) {
        each.join(); // their other sides are gone by now
    }
}

std::string FakeEngine::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void FakeEngine::serve()
{
    while (!this->stopping) {
        Error error;
        Tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (!error && !this->stopping) {
            this->connections.emplace_back(
                [this, moved = std::move(socket)]() mutable { this->serveConnection(moved); });
        }
    }
}

void FakeEngine::serveConnection(Tcp::socket &socket)
{
    Error error;
    beast::flat_buffer buffer;
    bool more = true;
    while (more && !this->stopping) {
        http::request<http::string_body> request;
        http::read(socket, buffer, request, error);
        if (error) {
            return;
        }
        this->requests += 1;
        if (request.target().starts_with("/v1/")) {
            more = this->answerModel(socket, request.body());
        } else if (!this->serviceAnswer.empty()) {
            writeAll(socket, this->serviceAnswer);
            more = false;
        } else {
            const std::string body
                = std::string(request.method_string()) + " " + std::string(request.target()) + " " + request.body();
            writeAll(socket,
                     "HTTP/1.1 201 Created\r\nX-Own: yes\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                         + body);
        }
    }
}

bool FakeEngine::answerModel(Tcp::socket &socket, const std::string &body)
{
    if (const int status = this->refuseStatus; status != 0) {
        const std::string error = R"({"error":{"code":")" + this->refuseCode + R"("}})";
        writeAll(socket,
                 "HTTP/1.1 " + std::to_string(status) + " Refused\r\nContent-Length: " + std::to_string(error.size())
                     + "\r\n\r\n" + error);
        return true;
    }
    writeAll(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (this->hang) {
        char byte = 0;
        Error error;
        asio::read(socket, asio::buffer(&byte, 1), error);
        this->closedEarly += 1;
        return false;
    }
    const int first = nlohmann::json::parse(body).value("resume_from", 0);
    for (int position = first; position < this->tokens; ++position) {
        if (this->breakEachTime && position > first) {
            return false;
        }
        if (position == this->breakAfter) {
            this->breakAfter = -1;
            return false;
        }
        const std::string text = R"({"choices":[{"index":0,"text":" )" + std::to_string(position) + R"("}]})";
        writeAll(socket, chunk("data: " + text + "\n\n"));
    }
    writeAll(socket, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
}

} // namespace lacewing
