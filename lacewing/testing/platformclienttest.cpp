// The platform client against a small server that fails in each way the platform may.

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>

#include <criterion/criterion.h>

#include "fakehttpserver.h"
#include "platformclient.h"

using namespace lacewing;

namespace {

/// Collects events of one kind; waiting for one that never comes ends the test.
template<typename Wanted>
class Collector
{
public:
    PlatformClient::Receiver receiver()
    {
        return [this](Event event) {
            if (auto *wanted = std::get_if<Wanted>(&event)) {
                const std::scoped_lock lock(this->mutex);
                this->events.push_back(std::move(*wanted));
                this->changed.notify_all();
            }
        };
    }

    Wanted next()
    {
        constexpr auto longest = std::chrono::seconds(60);
        std::unique_lock lock(this->mutex);
        const bool came = this->changed.wait_for(lock, longest, [this] { return !this->events.empty(); });
        cr_assert(came, "the event never came");
        Wanted event = std::move(this->events.front());
        this->events.pop_front();
        return event;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Wanted> events;
};

PlatformOptions optionsFor(const HostPort &platform)
{
    PlatformOptions options;
    options.platform = platform;
    return options;
}

wire::LogRecord recordWithNonce(const std::string &nonce)
{
    wire::LogRecord record;
    record.nonce = nonce;
    return record;
}

AppendEnded appendTo(const HostPort &platform, const PlatformOptions &options)
{
    Collector<AppendEnded> ends;
    PlatformOptions used = options;
    used.platform = platform;
    PlatformClient client(used, ends.receiver());
    client.start();
    client.append(recordWithNonce("n1"));
    return ends.next();
}

AppendEnded appendTo(const FakeHttpServer::Handler &handler)
{
    FakeHttpServer server(handler);
    return appendTo(server.address(), optionsFor(server.address()));
}

} // namespace

Test(platformclient, appendIsStored)
{
    std::string target;
    const AppendEnded ended = appendTo([&](const FakeRequest &request) {
        target = request.target.starts_with("POST") ? request.target : target;
        return FakeReply {200, R"({"offset":41})"};
    });
    cr_assert(ended.result == AppendEnded::Result::Stored);
    cr_assert(ended.offset == 41 && ended.nonce == "n1" && target == "POST /log");
}

Test(platformclient, lostAnswerIsUnknown)
{
    std::atomic<int> appends {0};
    const AppendEnded ended = appendTo([&](const FakeRequest &request) -> std::optional<FakeReply> {
        appends += request.target.starts_with("POST") ? 1 : 0;
        return std::nullopt;
    });
    cr_assert(ended.result == AppendEnded::Result::Unknown && ended.nonce == "n1");
    cr_assert(appends == 1, "sent %d times", appends.load());
}

Test(platformclient, malformedAnswerIsUnknown)
{
    const AppendEnded ended = appendTo([](const FakeRequest &) { return FakeReply {200, "{\"offset\":"}; });
    cr_assert(ended.result == AppendEnded::Result::Unknown);
    const AppendEnded failed = appendTo([](const FakeRequest &) { return FakeReply {500, ""}; });
    cr_assert(failed.result == AppendEnded::Result::Unknown);
}

Test(platformclient, refusalIsRefused)
{
    const AppendEnded ended = appendTo([](const FakeRequest &) { return FakeReply {503, "{}"}; });
    cr_assert(ended.result == AppendEnded::Result::Refused);
    const HostPort nobody = freeAddress();
    cr_assert(appendTo(nobody, optionsFor(nobody)).result == AppendEnded::Result::Refused);
}

Test(platformclient, slowAnswerIsUnknown)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool released = false;
    FakeHttpServer server([&](const FakeRequest &) -> std::optional<FakeReply> {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return released; });
        return FakeReply {200, R"({"offset":1})"};
    });
    PlatformOptions options = optionsFor(server.address());
    options.appendTimeout = milliseconds(100);
    const AppendEnded ended = appendTo(server.address(), options);
    cr_assert(ended.result == AppendEnded::Result::Unknown);
    const std::scoped_lock lock(mutex);
    released = true;
    changed.notify_all();
}

Test(platformclient, fullQueueRefuses)
{
    Collector<AppendEnded> ends;
    PlatformOptions options = optionsFor(freeAddress());
    options.appendQueueLimit = 1;
    PlatformClient client(options, ends.receiver()); // not started: nothing leaves the queue
    client.append(recordWithNonce("kept"));
    client.append(recordWithNonce("refused"));
    const AppendEnded ended = ends.next();
    cr_assert(ended.nonce == "refused" && ended.result == AppendEnded::Result::Refused);
}

Test(platformclient, readsWhatIsAskedFor)
{
    FakeHttpServer server([](const FakeRequest &request) {
        const bool log = request.target.starts_with("GET /log?from=5&");
        return FakeReply {log ? 200 : 404, R"({"first":5,"oldest":2,"end":6,"records":[{"offset":5,"data":""}]})"};
    });
    Collector<RecordsRead> reads;
    PlatformClient client(optionsFor(server.address()), reads.receiver());
    client.start();
    client.read(5);
    const RecordsRead page = reads.next();
    cr_assert(page.firstOffset == 5 && page.records.size() == 1 && page.end == 6);
}

Test(platformclient, failedReadsAreReported)
{
    FakeHttpServer server([](const FakeRequest &) { return FakeReply {200, "no JSON"}; });
    Collector<LogReadFailed> failures;
    PlatformClient client(optionsFor(server.address()), failures.receiver());
    client.start();
    client.read(0);
    failures.next();
    client.read(0);
    failures.next();
}

Test(platformclient, vmListComesByItself)
{
    std::atomic<bool> down {true};
    FakeHttpServer server([&](const FakeRequest &) {
        return down ? FakeReply {503, ""} : FakeReply {200, R"({"stamp":3,"vms":[{"name":"vm-1","zone":"z"}]})"};
    });
    PlatformOptions options = optionsFor(server.address());
    options.vmListInterval = milliseconds(5);
    Collector<VmListFailed> failures;
    {
        PlatformClient client(options, failures.receiver());
        client.start();
        failures.next();
    }
    down = false;
    Collector<VmListRead> lists;
    PlatformClient client(options, lists.receiver());
    client.start();
    cr_assert(lists.next().stamp == 3);
}

Test(platformclient, anAnswerTooLargeForAPageIsReadInSmallerPages)
{
    FakeHttpServer server([](const FakeRequest &request) {
        const bool small = request.target.find("most=4&") != std::string::npos;
        const std::string page = R"({"first":0,"oldest":0,"end":0,"records":[]})";
        return FakeReply {200, small ? page : std::string(100'000, ' ') + page};
    });
    PlatformOptions options = optionsFor(server.address());
    options.pageRecords = 16;
    options.pageLimit = 10'000;
    Collector<RecordsRead> reads;
    Collector<LogReadFailed> failures;
    const auto toReads = reads.receiver();
    const auto toFailures = failures.receiver();
    PlatformClient client(options, [&](const Event &event) {
        toReads(event);
        toFailures(event);
    });
    client.start();
    for (int failed = 0; failed < 2; ++failed) {
        client.read(0);
        failures.next();
    }
    client.read(0);
    reads.next();
}
