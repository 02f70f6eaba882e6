// Uses the same connection class as for callers, with smaller limits.

#include "statusserver.h"

#include "callerconnection.h"

namespace lacewing {

namespace {

constexpr std::size_t maxConnections = 32;

} // namespace

StatusServer::StatusServer(asio::io_context &ioContext, std::function<StatusAnswer(std::string_view)> answerTo)
    : acceptor(ioContext), answer(std::move(answerTo))
{
}

StatusServer::~StatusServer() = default;

NetError StatusServer::listen(std::string_view address)
{
    const NetError error = listenOn(this->acceptor, address);
    if (!error) {
        this->accept();
    }
    return error;
}

void StatusServer::accept()
{
    this->acceptor.async_accept([this](const NetError &error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
            return;
        }
        if (!error && this->connections.size() < maxConnections) {
            this->add(std::move(socket));
        }
        this->accept();
    });
}

void StatusServer::add(Tcp::socket socket)
{
    CallerLimits limits;
    limits.bodyBytes = 1024;
    const auto connection = std::make_shared<CallerConnection>(std::move(socket), limits);
    this->connections.insert(connection);
    const std::weak_ptr<CallerConnection> weak = connection;
    const auto reply = [weak](const StatusAnswer &result, bool keepAlive) {
        if (const auto client = weak.lock()) {
            HttpResponseHead head;
            head.status = result.status;
            head.reason = result.status == 200 ? "OK" : "no";
            head.headers = {{"Content-Type", "text/plain; charset=utf-8"}};
            head.length = result.text.size();
            client->beginAnswer(head, BodyFraming::Length, keepAlive);
            client->writeBody(result.text);
            client->finishAnswer();
        }
    };
    CallerConnection::Handlers handlers;
    handlers.onRequest = [this, reply](const HttpRequestHead &head, const std::string &) {
        const std::string_view target = head.target;
        reply(this->answer(target.substr(0, target.find('?'))), head.keepAlive);
    };
    handlers.onMalformedRequest = [reply](int status) { reply({status, {}}, false); };
    handlers.onClosed = [this, weak] {
        if (const auto closed = weak.lock()) {
            this->connections.erase(closed);
        }
    };
    connection->start(std::move(handlers));
}

void StatusServer::close()
{
    NetError ignored; // the process is ending
    this->acceptor.close(ignored);
    const auto all = this->connections;
    for (const auto &connection : all) {
        connection->abort();
    }
}

} // namespace lacewing
