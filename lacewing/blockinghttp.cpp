// cxxtools' blocking calls bound each read but not the sum of them, and readBody() stores whatever comes. Its
// asynchronous calls, driven here in short waits, let the deadline, the limit and the stop flag be looked at
// between them. After any failure the connection is dropped, so that a late answer can never be taken for
// that of the next request. Errors arrive as exceptions and end here.

#include "blockinghttp.h"

#include <chrono>
#include <exception>

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include "httphead.h"
#include "resultcode.h"

namespace lacewing {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto longestWait = std::chrono::milliseconds(50);
constexpr std::size_t readSize = 16 * kibibyte;

std::string requestPath(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::string requestQuery(std::string_view target)
{
    const std::size_t mark = target.find('?');
    return mark == std::string_view::npos ? "" : std::string(target.substr(mark + 1));
}

} // namespace

class BlockingHttpExchange : public cxxtools::Connectable
{
public:
    explicit BlockingHttpExchange(const HostPort &address)
    {
        this->client.prepareConnect(address.host, address.port);
        this->client.setSelector(this->selector);
        this->client.replyFinished.connect(cxxtools::slot(*this, &BlockingHttpExchange::onFinished));
        this->client.requestSent.connect(cxxtools::slot(*this, &BlockingHttpExchange::onSent));
        cxxtools::connect(this->client.bodyAvailable, *this, &BlockingHttpExchange::onBody);
    }

    void begin(const BlockingHttpRequest &request)
    {
        this->finished = false;
        this->sent = false;
        this->body.clear();
        this->outgoing.clear();
        this->outgoing.method(request.method);
        this->outgoing.url(requestPath(request.target));
        this->outgoing.qparams(requestQuery(request.target));
        for (const auto &[name, value] : request.headers) {
            this->outgoing.setHeader(name.c_str(), value.c_str());
        }
        this->outgoing.body() << request.body;
        this->client.beginExecute(this->outgoing);
    }

    std::error_code waitUntilFinished(const BlockingHttpRequest &request, const std::atomic<bool> *stopFlag)
    {
        const auto deadline = SteadyClock::now() + request.timeout;
        while (!this->finished) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - SteadyClock::now());
            if (left.count() <= 0 || (stopFlag != nullptr && stopFlag->load())) {
                return ResultCode::RequestTimeout;
            }
            if (this->body.size() > request.answerLimit) {
                return ResultCode::LimitExceeded;
            }
            this->selector.wait(static_cast<double>(std::min(left, longestWait).count()));
        }
        this->client.endExecute();
        const bool tooLarge = this->body.size() > request.answerLimit;
        return tooLarge ? make_error_code(ResultCode::LimitExceeded) : std::error_code {};
    }

    int status() const
    {
        return static_cast<int>(this->client.header().httpReturnCode());
    }

    bool wasSent() const
    {
        return this->sent;
    }

    std::string takeBody()
    {
        return std::move(this->body);
    }

private:
    void onFinished(cxxtools::http::Client &)
    {
        this->finished = true;
    }

    void onSent(cxxtools::http::Client &)
    {
        this->sent = true;
    }

    /// Must take all that is there: cxxtools does not call again for what is left in its buffer.
    std::size_t onBody(cxxtools::http::Client &source)
    {
        std::size_t taken = 0;
        char buffer[readSize];
        while (source.in().rdbuf()->in_avail() > 0) {
            const std::streamsize count = source.in().readsome(buffer, readSize);
            if (count <= 0) {
                break;
            }
            this->body.append(buffer, static_cast<std::size_t>(count));
            taken += static_cast<std::size_t>(count);
        }
        return taken;
    }

    cxxtools::Selector selector;
    cxxtools::http::Client client;
    cxxtools::http::Request outgoing;
    std::string body;
    bool finished = false;
    bool sent = false;
};

BlockingHttpClient::BlockingHttpClient(HostPort address, const std::atomic<bool> *stopFlag)
    : server(std::move(address)), stopped(stopFlag)
{
}

BlockingHttpClient::~BlockingHttpClient() = default;

std::error_code BlockingHttpClient::exchange(const BlockingHttpRequest &request, BlockingHttpAnswer &answer)
{
    std::error_code error;
    try {
        if (!this->exchangeState) {
            this->exchangeState = std::make_unique<BlockingHttpExchange>(this->server);
        }
        this->exchangeState->begin(request);
        error = this->exchangeState->waitUntilFinished(request, this->stopped);
        answer.status = error ? 0 : this->exchangeState->status();
        if (!error && !isFinalStatus(answer.status)) {
            error = ResultCode::StreamBroken;
            answer.status = 0;
        }
    } catch (const std::exception &) {
        const bool sent = this->exchangeState && this->exchangeState->wasSent();
        error = sent ? ResultCode::StreamBroken : ResultCode::PeerUnreachable;
    }
    if (this->exchangeState) {
        answer.sent = this->exchangeState->wasSent();
        answer.body = this->exchangeState->takeBody();
    }
    if (error) {
        this->exchangeState.reset();
    }
    return error;
}

} // namespace lacewing
