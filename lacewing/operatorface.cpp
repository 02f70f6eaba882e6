// cxxtools' HTTP server with one service for all paths; answerOperator() does the rest. The server makes each
// answer whole before it sends it, which suits these short answers. It closes connections whose headers exceed
// 4096 bytes; the limit on the body is kept here, while it is read.

#include "operatorface.h"

#include <exception>
#include <thread>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include "resultcode.h"

namespace lacewing {

namespace {

namespace http = cxxtools::http;

constexpr const char *allPaths = "^/";
constexpr std::size_t readSize = 4 * kibibyte;
constexpr const char *tooLargeBody
    = "{\"error\":{\"code\":105,\"type\":\"too_large\",\"message\":\"the body exceeds the limit\"}}\n";

/// What all responders share.
struct FaceContext {
    const OperatorFaceOptions &options;
    const Metrics &metrics;
    OperatorBackend &backend;
};

class FaceResponder : public http::Responder
{
public:
    FaceResponder(http::Service &service, const FaceContext &shared) : http::Responder(service), context(shared)
    {
    }

    void beginRequest(cxxtools::net::TcpSocket &, std::istream &, http::Request &) override
    {
        this->body.clear();
        this->tooLarge = false;
    }

    /// Must take all that is there: cxxtools does not call again for what is left in its buffer.
    std::size_t readBody(std::istream &in) override
    {
        std::size_t taken = 0;
        char buffer[readSize];
        while (in.rdbuf()->in_avail() > 0) {
            const std::streamsize count = in.readsome(buffer, readSize);
            if (count <= 0) {
                break;
            }
            taken += static_cast<std::size_t>(count);
            this->keep(std::string_view(buffer, static_cast<std::size_t>(count)));
        }
        return taken;
    }

    void reply(std::ostream &out, http::Request &request, http::Reply &reply) override
    {
        OperatorReply answer {resultCodeInfo(ResultCode::TooLarge).httpStatus, "application/json", tooLargeBody};
        if (!this->tooLarge) {
            answer = this->answer(request);
        }
        reply.httpReturn(static_cast<unsigned>(answer.status), answer.status < 400 ? "OK" : "Error");
        reply.setHeader("Content-Type", answer.contentType.c_str());
        out << answer.body;
    }

private:
    void keep(std::string_view part)
    {
        this->tooLarge = this->tooLarge || this->body.size() + part.size() > this->context.options.bodyLimit;
        if (this->tooLarge) {
            this->body.clear();
        } else {
            this->body += part;
        }
    }

    OperatorReply answer(const http::Request &request)
    {
        const char *authorization = request.getHeader("Authorization");
        OperatorRequest wanted;
        wanted.method = request.method();
        wanted.path = request.url();
        wanted.query = request.qparams();
        wanted.authorization = authorization != nullptr ? authorization : "";
        wanted.body = std::move(this->body);
        return answerOperator(wanted, this->context.options.api, this->context.metrics, this->context.backend);
    }

    const FaceContext &context;
    std::string body;
    bool tooLarge = false;
};

class FaceService : public http::Service
{
public:
    explicit FaceService(const FaceContext &shared) : context(shared)
    {
    }

protected:
    http::Responder *createResponder(const http::Request &) override
    {
        return new FaceResponder(*this, this->context);
    }

    void releaseResponder(http::Responder *responder) override
    {
        delete responder;
    }

private:
    const FaceContext &context;
};

double toCxxtools(Duration duration)
{
    return static_cast<double>(toMilliseconds(duration));
}

} // namespace

class OperatorServer
{
public:
    OperatorServer(const OperatorFaceOptions &options, const Metrics &metrics, OperatorBackend &backend)
        : context {options, metrics, backend},
          service(this->context),
          server(this->loop, options.address.host, options.address.port)
    {
        this->server.readTimeout(cxxtools::Milliseconds(toCxxtools(options.readTimeout)));
        this->server.keepAliveTimeout(cxxtools::Milliseconds(toCxxtools(options.idleTimeout)));
        this->server.minThreads(1);
        this->server.maxThreads(options.mostThreads);
        this->server.addService(cxxtools::Regex(allPaths), this->service);
        this->thread = std::thread([this] { this->loop.run(); });
    }

    ~OperatorServer()
    {
        this->loop.exit();
        this->thread.join();
    }

    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

private:
    FaceContext context;
    cxxtools::EventLoop loop;
    FaceService service;
    http::Server server;
    std::thread thread;
};

OperatorFace::OperatorFace(OperatorFaceOptions wanted, const Metrics &shownMetrics, OperatorBackend &askedBackend)
    : options(std::move(wanted)), metrics(shownMetrics), backend(askedBackend)
{
}

OperatorFace::~OperatorFace()
{
    this->stop();
}

std::error_code OperatorFace::start()
{
    try {
        this->server = std::make_unique<OperatorServer>(this->options, this->metrics, this->backend);
    } catch (const std::exception &) {
        return std::make_error_code(std::errc::address_not_available);
    }
    return {};
}

void OperatorFace::stop()
{
    this->server.reset();
}

} // namespace lacewing
