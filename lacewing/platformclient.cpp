// One thread reads the log, one the VM list, a few append, each with its own connection. Blocking threads are
// enough here: the log takes several hundred appends a second, and all of a VM's appends share those.

#include "platformclient.h"

#include <algorithm>
#include <chrono>

#include "blockinghttp.h"
#include "codec.h"
#include "platformjson.h"
#include "resultcode.h"
#include "sizes.h"

namespace lacewing {

namespace {

constexpr int statusOk = 200;
constexpr int statusClientErrors = 400;
constexpr int statusServerErrors = 500;
constexpr int statusUnavailable = 503;
constexpr std::size_t largestAppendAnswer = 64 * kibibyte;

/// Only these statuses say that the record was not stored.
bool provesNotStored(int status)
{
    return (status >= statusClientErrors && status < statusServerErrors) || status == statusUnavailable;
}

} // namespace

PlatformClient::PlatformClient(PlatformOptions wanted, Receiver eventReceiver)
    : options(std::move(wanted)), receiver(std::move(eventReceiver))
{
}

PlatformClient::~PlatformClient()
{
    this->stop();
}

void PlatformClient::start()
{
    this->threads.emplace_back([this] { this->runReads(); });
    this->threads.emplace_back([this] { this->runVmList(); });
    for (std::size_t count = 0; count < this->options.appendThreads; ++count) {
        this->threads.emplace_back([this] { this->runAppends(); });
    }
}

void PlatformClient::stop()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopped = true;
    }
    this->changed.notify_all();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

void PlatformClient::read(LogOffset from)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->wantedRead = std::max<LogOffset>(from, 0);
    }
    this->changed.notify_all();
}

void PlatformClient::append(const wire::LogRecord &record)
{
    QueuedAppend queued {record.nonce, encode(record)};
    {
        const std::scoped_lock lock(this->mutex);
        if (this->appends.size() < this->options.appendQueueLimit) {
            this->appends.push_back(std::move(queued));
            this->changed.notify_all();
            return;
        }
    }
    AppendEnded ended;
    ended.nonce = record.nonce;
    ended.result = AppendEnded::Result::Refused;
    this->receiver(std::move(ended));
}

Event PlatformClient::readPage(BlockingHttpClient &client, LogOffset from, std::size_t &most) const
{
    BlockingHttpRequest request;
    request.target = "/log?from=" + std::to_string(from) + "&most=" + std::to_string(most)
        + "&wait=" + std::to_string(toMilliseconds(this->options.longPoll));
    request.timeout = this->options.readTimeout;
    request.answerLimit = this->options.pageLimit;
    BlockingHttpAnswer answer;
    RecordsRead page;
    const std::error_code error = client.exchange(request, answer);
    if (error == ResultCode::LimitExceeded) {
        most = std::max<std::size_t>(most / 2, 1);
    }
    if (error || answer.status != statusOk || parseLogPage(answer.body, page)) {
        return LogReadFailed {};
    }
    most = std::min(most * 2, this->options.pageRecords);
    return page;
}

void PlatformClient::runReads()
{
    BlockingHttpClient client(this->options.platform, &this->stopped);
    std::size_t most = this->options.pageRecords;
    while (true) {
        LogOffset from = 0;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->stopped || this->wantedRead; });
            if (this->stopped) {
                return;
            }
            from = *this->wantedRead;
            this->wantedRead.reset();
        }
        Event event = this->readPage(client, from, most);
        if (this->stopped) {
            return;
        }
        this->receiver(std::move(event));
    }
}

void PlatformClient::runVmList()
{
    BlockingHttpClient client(this->options.platform, &this->stopped);
    while (!this->stopped) {
        BlockingHttpRequest request;
        request.target = "/vms";
        request.timeout = this->options.vmListTimeout;
        BlockingHttpAnswer answer;
        VmListRead list;
        const std::error_code error = client.exchange(request, answer);
        if (this->stopped) {
            return;
        }
        if (error || answer.status != statusOk || parseVmList(answer.body, list)) {
            this->receiver(VmListFailed {});
        } else {
            this->receiver(std::move(list));
        }
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, this->options.vmListInterval, [this] { return this->stopped.load(); });
    }
}

void PlatformClient::runAppends()
{
    BlockingHttpClient client(this->options.platform, &this->stopped);
    while (true) {
        QueuedAppend queued;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->stopped || !this->appends.empty(); });
            if (this->stopped) {
                return;
            }
            queued = std::move(this->appends.front());
            this->appends.pop_front();
        }
        AppendEnded ended = this->carryOut(client, queued);
        if (this->stopped) {
            return;
        }
        this->receiver(std::move(ended));
    }
}

AppendEnded PlatformClient::carryOut(BlockingHttpClient &client, const QueuedAppend &queued) const
{
    BlockingHttpRequest request;
    request.method = "POST";
    request.target = "/log";
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    request.body = queued.bytes;
    request.timeout = this->options.appendTimeout;
    request.answerLimit = largestAppendAnswer;
    BlockingHttpAnswer answer;
    const std::error_code error = client.exchange(request, answer);
    AppendEnded ended;
    ended.nonce = queued.nonce;
    if (error) {
        const bool unreachable = error == ResultCode::PeerUnreachable && !answer.sent;
        ended.result = unreachable ? AppendEnded::Result::Refused : AppendEnded::Result::Unknown;
    } else if (answer.status == statusOk && !parseAppendAnswer(answer.body, ended.offset)) {
        ended.result = AppendEnded::Result::Stored;
    } else if (provesNotStored(answer.status)) {
        ended.result = AppendEnded::Result::Refused;
    }
    return ended;
}

} // namespace lacewing
