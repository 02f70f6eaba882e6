// The runtime over loopback sockets: two VMs in this process, a tiny engine, and decisions that only pass
// a request on, so that what is tested is the transport and not the policy.

#include <algorithm>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "callerface.h"
#include "clock.h"
#include "fakeengine.h"
#include "runtime.h"

// Behind Boost: a macro of its breaks a Boost header.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
constexpr int mostAttempts = 3;

/// Offers each request to one VM, tries again what broke, and runs at once whatever is offered.
class PassOn
{
public:
    explicit PassOn(VmId ownerVm) : owner(std::move(ownerVm))
    {
    }

    Actions operator()(Blackboard &blackboard, const Event &event, TimePoint)
    {
        Actions actions;
        if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
            this->arrivals[arrived->request] = *arrived;
            this->offer(arrived->request, 1, 0, actions);
        } else if (const auto *ended = std::get_if<AttemptEnded>(&event)) {
            this->attemptEnded(*ended, actions);
        } else if (const auto *abandoned = std::get_if<RequestAbandoned>(&event)) {
            actions.emplace_back(CancelOffer {this->owner, makeAttemptId(abandoned->request, 1)});
        } else if (const auto *offered = std::get_if<OfferArrived>(&event)) {
            this->offeredBy[offered->offer.attempt] = offered->from;
            actions.emplace_back(AcceptOffer {offered->from, offered->offer.attempt});
            actions.emplace_back(StartRun {offered->offer.endpoint, offered->from, offered->offer, 1, 0});
        } else if (const auto *cancelled = std::get_if<OfferCancelled>(&event)) {
            actions.emplace_back(StopRun {"e1", cancelled->attempt, ResultCode::CallerGone});
        } else if (const auto *run = std::get_if<RunEnded>(&event)) {
            actions.emplace_back(EndOffer {this->offeredBy[run->attempt], run->attempt, run->result});
        } else if (const auto *asked = std::get_if<KeyRequested>(&event)) {
            actions.emplace_back(KeyMinted {asked->token, "minted", TimePoint {}});
        }
        blackboard.stopping = blackboard.stopping || std::holds_alternative<StopRequested>(event);
        return actions;
    }

private:
    void offer(const RequestId &request, std::int32_t number, std::int64_t position, Actions &actions)
    {
        const RequestArrived &arrival = this->arrivals[request];
        wire::RequestOffer made;
        made.attempt = makeAttemptId(request, number);
        made.endpoint = arrival.service.empty() ? "e1" : "s1";
        made.adapter = arrival.target;
        made.serviceName = arrival.service;
        made.repeatable = arrival.repeatable;
        made.resumePosition = position;
        actions.emplace_back(OfferAttempt {this->owner, made});
    }

    void attemptEnded(const AttemptEnded &ended, Actions &actions)
    {
        const RequestId request = ended.attempt.request;
        const wire::AttemptResult &result = ended.result;
        if (result.outcome == AttemptOutcome::Broken && ended.attempt.number < mostAttempts) {
            this->offer(request, ended.attempt.number + 1, result.position, actions);
            return;
        }
        static const std::map<AttemptOutcome, RequestOutcome> outcomes {
            {AttemptOutcome::Completed, RequestOutcome::Answered},
            {AttemptOutcome::NotRun, RequestOutcome::NotRun},
            {AttemptOutcome::Failed, RequestOutcome::Failed}};
        const auto known = outcomes.find(result.outcome);
        const RequestOutcome outcome = known == outcomes.end() ? RequestOutcome::Unknown : known->second;
        actions.emplace_back(FinishRequest {request, outcome, static_cast<ResultCode>(result.code)});
    }

    VmId owner;
    std::unordered_map<RequestId, RequestArrived, RequestIdHash> arrivals;
    std::unordered_map<AttemptId, VmId, AttemptIdHash> offeredBy;
};

/// An entry VM "a" and an owner "b"; or only "a", which then owns the endpoints itself.
class TwoVms
{
public:
    explicit TwoVms(bool remote, const std::string &tokenOfOwner = "token", CallerSettings limits = {})
    {
        if (remote) {
            this->owner = std::make_unique<Runtime>(this->context, this->clock, this->state("b"),
                                                    this->settings("b", tokenOfOwner), RuntimeOutputs {}, PassOn("b"));
            cr_assert(!this->owner->start());
        }
        Blackboard entryState = this->state("a");
        entryState.membership.listed["b"].address
            = remote ? "127.0.0.1:" + std::to_string(this->owner->peerPort()) : "";
        this->entry = std::make_unique<Runtime>(this->context, this->clock, entryState, this->settings("a", "token"),
                                                RuntimeOutputs {}, PassOn(remote ? "b" : "a"));
        cr_assert(!this->entry->start());
        limits.listenAddress = "127.0.0.1:0";
        this->face = std::make_unique<CallerFace>(this->context, *this->entry, limits);
        cr_assert(!this->face->listen());
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~TwoVms()
    {
        asio::post(this->context, [this] {
            this->face->close();
            this->entry->close();
            if (this->owner) {
                this->owner->close();
            }
            this->context.stop();
        });
        this->thread.join();
    }

    /// Runs a function on the runtime's thread.
    void run(std::function<void()> function)
    {
        asio::post(this->context, std::move(function));
    }

    /// Runs a function on the runtime's thread, and returns when it has ended.
    void runToItsEnd(const std::function<void()> &function)
    {
        std::promise<void> ended;
        this->run([&] {
            function();
            ended.set_value();
        });
        ended.get_future().wait();
    }

    std::uint16_t port() const
    {
        return this->face->port();
    }

    CallerFace &callers()
    {
        return *this->face;
    }

    FakeEngine engine;

private:
    RuntimeSettings settings(const VmId &vm, const std::string &token) const
    {
        RuntimeSettings made;
        made.peers.vm = vm;
        made.peers.listenAddress = "127.0.0.1:0";
        made.peers.token = token;
        return made;
    }

    Blackboard state(const VmId &vm) const
    {
        Blackboard made;
        made.settings.vm = vm;
        made.settings.incarnation = vm == "a" ? 1 : 2;
        made.config.memberByKeyHash[sha256Hex("secret")] = "tala";
        AdapterInfo adapter;
        adapter.member = "tala";
        adapter.versions[3] = {};
        adapter.assignedVersion = 3;
        made.config.adapters["menu"] = adapter;
        made.config.endpoints["e1"].address = this->engine.address();
        made.config.endpoints["s1"].address = this->engine.address();
        made.config.endpoints["s1"].serviceName = "order-app";
        return made;
    }

    asio::io_context context {1};
    RuntimeClock clock;
    std::unique_ptr<Runtime> owner;
    std::unique_ptr<Runtime> entry;
    std::unique_ptr<CallerFace> face;
    std::thread thread;
};

/// A caller with a blocking socket.
class Caller
{
public:
    explicit Caller(std::uint16_t port) : socket(this->context)
    {
        this->socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port));
    }

    void send(const std::string &text)
    {
        NetError ignored; // the other side may refuse to read on
        asio::write(this->socket, asio::buffer(text), ignored);
    }

    void post(const std::string &path, const std::string &body, const std::string &headers = "",
              const std::string &version = "1.1")
    {
        this->send("POST " + path + " HTTP/" + version + "\r\nHost: x\r\nAuthorization: Bearer secret\r\n" + headers
                   + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// Reads one answer, or as much of it as came before the connection closed.
    http::response<http::string_body> read()
    {
        http::response_parser<http::string_body> parser;
        http::read(this->socket, this->buffer, parser, this->error);
        return parser.release();
    }

    void close()
    {
        this->socket.close();
    }

    bool isClosed()
    {
        return closedByPeer(this->socket);
    }

    NetError error; ///< of the last read

private:
    asio::io_context context;
    Tcp::socket socket;
    beast::flat_buffer buffer;
};

constexpr const char *streamed = R"({"model":"menu","prompt":"soup","stream":true,"max_tokens":3})";
constexpr const char *assembled = R"({"model":"menu@3","prompt":"soup","max_tokens":3})";

std::string joinedText(const std::string &events)
{
    std::string text;
    for (std::size_t place = events.find("data: {"); place != std::string::npos;
         place = events.find("data: {", place + 1)) {
        const std::size_t start = place + 6;
        const json event = json::parse(events.substr(start, events.find('\n', start) - start));
        if (event.contains("choices")) {
            text += event["choices"][0].value("text", "");
        }
    }
    return text;
}

/// A caller to whose link all that the VM sends is late, its close included. Reuses its connection while it may.
class LateCaller
{
public:
    LateCaller(std::uint16_t port, Duration linkDelay, Duration idleLimit) : caller(port), delay(linkDelay)
    {
        this->caller.post("/v1/completions", assembled);
        const auto answer = this->caller.read();
        cr_assert(answer.result_int() == 200);
        this->answered = Clock::now();
        // Four fifths of the limit, or as long as the answer says.
        this->reusable = idleLimit * 4 / 5;
        const auto stated = std::string(answer["Keep-Alive"]);
        if (stated.starts_with("timeout=")) {
            const Duration time = std::chrono::seconds(std::stoi(stated.substr(stated.find('=') + 1)));
            this->reusable = std::min(this->reusable, time);
        }
    }

    Clock::time_point reuseEnd() const
    {
        return this->answered + this->delay + this->reusable;
    }

    /// To be called often: notes when the VM closed the connection.
    void look()
    {
        if (!this->closedAt && this->caller.isClosed()) {
            this->closedAt = Clock::now();
        }
    }

    bool maySend() const
    {
        const auto now = Clock::now();
        return now < this->reuseEnd() && (!this->closedAt || now < *this->closedAt + this->delay);
    }

    /// @return whether a request sent now is answered
    bool isAnswered()
    {
        this->caller.post("/v1/completions", assembled);
        return this->caller.read().result_int() == 200 && !this->caller.error;
    }

private:
    Caller caller;
    Duration delay;
    Duration reusable {0};
    Clock::time_point answered;
    std::optional<Clock::time_point> closedAt;
};

int errorCode(const http::response<http::string_body> &answer)
{
    return json::parse(answer.body())["error"]["code"];
}

} // namespace

Test(runtime, streamsThroughTheOwner)
{
    TwoVms vms(true);
    Caller caller(vms.port());
    caller.post("/v1/completions", streamed, "X-Request-Id: mine\r\n");
    const auto answer = caller.read();
    cr_assert(!caller.error && answer.result_int() == 200 && answer["X-Request-Id"] == "mine");
    cr_assert(joinedText(answer.body()) == " 0 1 2", "%s", answer.body().c_str());
    cr_assert(answer.body().ends_with("data: [DONE]\n\n"));
    cr_assert(answer.body().find(R"("model":"menu@3")") != std::string::npos);
}

Test(runtime, assemblesTheWholeAnswer)
{
    TwoVms vms(true);
    Caller caller(vms.port());
    caller.post("/v1/completions", assembled);
    const json answer = json::parse(caller.read().body());
    cr_assert(answer["choices"][0]["text"] == " 0 1 2" && answer["model"] == "menu@3");
    cr_assert(answer["usage"]["completion_tokens"] == 3 && answer["choices"][0]["finish_reason"] == "length");
}

Test(runtime, answersPipelinedRequestsInOrder)
{
    TwoVms vms(false);
    Caller caller(vms.port());
    const std::string model = assembled;
    caller.post("/v1/completions", model, "X-Request-Id: one\r\n");
    caller.post("/services/order-app/x", "body", "X-Request-Id: two\r\n");
    caller.post("/v1/completions", streamed, "X-Request-Id: three\r\n");
    cr_assert(caller.read()["X-Request-Id"] == "one");
    const auto second = caller.read();
    cr_assert(second["X-Request-Id"] == "two" && second.result_int() == 201);
    const auto third = caller.read();
    cr_assert(third["X-Request-Id"] == "three" && joinedText(third.body()) == " 0 1 2");
}

Test(runtime, resumesABrokenStreamAtItsPosition)
{
    TwoVms vms(true);
    vms.engine.breakAfter = 2;
    Caller caller(vms.port());
    caller.post("/v1/completions", streamed);
    const auto answer = caller.read();
    cr_assert(!caller.error && joinedText(answer.body()) == " 0 1 2", "%s", answer.body().c_str());
    cr_assert(vms.engine.requests == 2);
}

Test(runtime, aRefusalByTheEngineIsProofOfNotRun)
{
    TwoVms vms(true);
    vms.engine.refuseStatus = 404;
    Caller caller(vms.port());
    caller.post("/v1/completions", streamed);
    const auto answer = caller.read();
    cr_assert(answer.result_int() == 503 && errorCode(answer) == static_cast<int>(ResultCode::NotResident));
    cr_assert(json::parse(answer.body())["error"]["outcome"] == "not_run" && !answer["Retry-After"].empty());
}

Test(runtime, anErrorOfTheEngineIsNoProof)
{
    TwoVms vms(false);
    vms.engine.refuseStatus = 500;
    Caller caller(vms.port());
    caller.post("/v1/completions", streamed);
    const auto answer = caller.read();
    cr_assert(answer.result_int() == 502 && json::parse(answer.body())["error"]["outcome"] == "failed", "%s",
              answer.body().c_str());
}

Test(runtime, anUnreachableOwnerIsProofOfNotRun)
{
    TwoVms vms(true, "another token");
    Caller caller(vms.port());
    caller.post("/v1/completions", streamed);
    const auto answer = caller.read();
    cr_assert(answer.result_int() == 503 && errorCode(answer) == static_cast<int>(ResultCode::PeerUnreachable));
    cr_assert(vms.engine.requests == 0);
}

Test(runtime, aCallerThatGoesAwayIsCancelledAtTheEngine)
{
    TwoVms vms(true);
    vms.engine.hang = true;
    Caller caller(vms.port());
    caller.post("/v1/completions", streamed);
    while (vms.engine.requests == 0) {
        std::this_thread::yield();
    }
    caller.close();
    while (vms.engine.closedEarly == 0) {
        std::this_thread::yield(); // the test's own time limit ends a failure
    }
    cr_assert(vms.engine.closedEarly == 1);
}

Test(runtime, passesServiceCallsOnUnchanged)
{
    TwoVms vms(true);
    Caller caller(vms.port());
    caller.post("/services/order-app/orders/7?x=1", "lobster");
    const auto answer = caller.read();
    cr_assert(answer.result_int() == 201 && answer["X-Own"] == "yes", "%u %s", answer.result_int(),
              answer.body().c_str());
    cr_assert(answer.body() == "POST /orders/7?x=1 lobster", "%s", answer.body().c_str());
}

// A service's answer without a length ends with its connection, also when the service's process ends.
Test(runtime, aStreamOfAServiceThatEndsInsideAnEventIsNotComplete)
{
    for (const bool truncated : {true, false}) {
        TwoVms vms(true);
        vms.engine.serviceAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: one\n\ndata: two";
        vms.engine.serviceAnswer += truncated ? "" : "\n\n";
        Caller caller(vms.port());
        caller.post("/services/order-app/orders/7", "lobster");
        const auto answer = caller.read();
        cr_expect_eq(answer.result_int(), 200U);
        cr_expect(static_cast<bool>(caller.error) == truncated, "%s", caller.error.message().c_str());
    }
}

Test(runtime, mintsKeysAndListsModels)
{
    TwoVms vms(false);
    Caller caller(vms.port());
    caller.post("/v1/keys", "");
    cr_assert(json::parse(caller.read().body())["key"] == "minted");
    caller.send("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n");
    cr_assert(json::parse(caller.read().body())["data"][0]["id"] == "menu");
}

Test(runtime, refusesClearlyWhatItCanNotTake)
{
    CallerSettings limits;
    limits.headerLimit = 1024;
    limits.bodyLimit = 512;
    limits.headerTimeout = milliseconds(50);
    limits.bodyTimeout = milliseconds(50);
    TwoVms vms(false, "token", limits);
    const std::string start = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
    const std::map<std::string, ResultCode> inputs {
        {"nonsense\r\n\r\n", ResultCode::MalformedRequest},
        {start + "Content-Length: none\r\n\r\n", ResultCode::MalformedRequest},
        {start + "X-Long: " + std::string(2000, 'x') + "\r\n\r\n", ResultCode::TooLarge},
        {start + "Content-Length: 1000\r\n\r\n" + std::string(1000, 'x'), ResultCode::TooLarge},
        {"POST /v1/comp", ResultCode::RequestTimeout},
        {start + "Content-Length: 100\r\n\r\nhalf", ResultCode::RequestTimeout},
        {start + "Content-Length: 2\r\n\r\n{}", ResultCode::Unauthenticated},
        {start + "X-Request-Id: a b\r\nContent-Length: 2\r\n\r\n{}", ResultCode::MalformedRequest},
        {"GET /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n", ResultCode::MethodNotAllowed},
        {"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", ResultCode::NotFound}};
    for (const auto &[input, code] : inputs) {
        Caller caller(vms.port());
        caller.send(input);
        const auto answer = caller.read();
        cr_assert(!caller.error, "%.40s: %s", input.c_str(), caller.error.message().c_str());
        cr_assert(errorCode(answer) == static_cast<int>(code), "%.40s: %s", input.c_str(), answer.body().c_str());
        cr_assert(static_cast<int>(answer.result_int()) == resultCodeInfo(code).httpStatus);
    }
    Caller caller(vms.port());
    caller.post("/v1/completions", streamed);
    cr_assert(joinedText(caller.read().body()) == " 0 1 2", "nothing else is disturbed");
}

Test(runtime, anErrorAfterTheStreamBeganIsAnEventWithoutEndMark)
{
    TwoVms vms(true);
    vms.engine.tokens = 100;
    vms.engine.breakEachTime = true;
    Caller caller(vms.port());
    caller.post("/v1/completions", streamed);
    const auto answer = caller.read();
    cr_assert(joinedText(answer.body()) == " 0 1 2", "one token from each attempt: %s", answer.body().c_str());
    cr_assert(answer.body().find("[DONE]") == std::string::npos);
    cr_assert(answer.body().find(R"({"error":)") != std::string::npos, "%s", answer.body().c_str());
    cr_assert(caller.error, "a failed stream is not ended as if whole");
}

// Without chunks the orderly close of the connection is the end of an answer, so only a reset shows a truncated one.
Test(runtime, aCallerOfHttp10SeesATruncatedAnswer)
{
    for (const bool breaks : {true, false}) {
        TwoVms vms(true);
        vms.engine.breakEachTime = breaks;
        vms.engine.tokens = breaks ? 100 : 3;
        Caller caller(vms.port());
        caller.post("/v1/completions", streamed, "", "1.0");
        const auto answer = caller.read();
        cr_expect(joinedText(answer.body()) == " 0 1 2", "%s", answer.body().c_str());
        cr_expect(static_cast<bool>(caller.error) == breaks, "%s", caller.error.message().c_str());
    }
}

Test(runtime, aPlannedStopFinishesTheRequestAndClosesTheConnection)
{
    TwoVms vms(true);
    Caller idle(vms.port());
    idle.post("/v1/completions", assembled);
    cr_assert(idle.read().result_int() == 200);
    vms.run([&vms] { vms.callers().beginStop(); });
    idle.read();
    cr_assert(idle.error, "an idle connection is closed");
    Caller late(vms.port());
    late.post("/v1/completions", assembled);
    cr_assert(!late.read().keep_alive(), "the listener still answers, and says close");
}

// Closing a listener resets the connections that wait in it, whose callers may have sent their request already.
Test(runtime, aConnectionThatWaitsToBeTakenIsAnsweredWhenTheListenerCloses)
{
    TwoVms vms(true);
    std::optional<Caller> waiting;
    vms.runToItsEnd([&] { // in one turn of the loop, so that it can't be taken before
        vms.callers().beginStop();
        waiting.emplace(vms.port());
        waiting->post("/v1/completions", assembled);
        vms.callers().closeListener();
    });
    const auto answer = waiting->read();
    cr_assert(!waiting->error, "%s", waiting->error.message().c_str());
    cr_assert(!answer.keep_alive());
}

// A stop closed idle connections at once, and reset those on which a request was on its way.
Test(runtime, aRequestOnAKeptConnectionThatCrossesTheStopIsAnswered)
{
    TwoVms vms(true);
    Caller kept(vms.port());
    kept.post("/v1/completions", assembled);
    cr_assert(kept.read().result_int() == 200);
    vms.runToItsEnd([&] { // in one turn of the loop, so that it can't be read before
        kept.post("/v1/completions", assembled);
        vms.callers().beginStop();
    });
    const auto answer = kept.read();
    cr_assert(!kept.error, "%s", kept.error.message().c_str());
    cr_assert(!answer.keep_alive());
}

Test(runtime, aConnectionWhoseFirstRequestIsOnTheWayOutlivesThePlannedStop)
{
    TwoVms vms(true);
    Caller fresh(vms.port());
    Caller other(vms.port());
    other.post("/v1/completions", assembled);
    cr_assert(other.read().result_int() == 200, "connections before this one have been accepted");
    vms.run([&vms] { vms.callers().beginStop(); });
    fresh.post("/v1/completions", assembled);
    fresh.read();
    cr_assert(!fresh.error, "%s", fresh.error.message().c_str());
}

// A request that crosses the close of its connection is lost, so no connection may be closed while its caller may reuse
// it.
Test(runtime, requestsOnKeptConnectionsOverALateLinkAreAnsweredDuringAStop)
{
    constexpr int callerCount = 24;
    constexpr int looksPerRequest = 10;
    constexpr auto lookInterval = std::chrono::milliseconds(10);
    constexpr Duration delay = milliseconds(300);
    TwoVms vms(true);
    std::vector<std::unique_ptr<LateCaller>> callers;
    callers.reserve(callerCount);
    for (int number = 0; number < callerCount; ++number) {
        callers.push_back(std::make_unique<LateCaller>(vms.port(), delay, CallerSettings {}.idleTimeout));
    }
    vms.runToItsEnd([&vms] { vms.callers().beginStop(); });
    int sent = 0;
    int unanswered = 0;
    for (const auto &sender : callers) {
        for (int look = 0; look < looksPerRequest; ++look) {
            std::this_thread::sleep_for(lookInterval);
            std::for_each(callers.begin(), callers.end(), [](const auto &caller) { caller->look(); });
        }
        if (sender->maySend()) {
            sent += 1;
            unanswered += sender->isAnswered() ? 0 : 1;
        }
    }
    cr_assert_gt(sent, 5);
    cr_expect_eq(unanswered, 0, "%d of %d", unanswered, sent);
}

Test(runtime, aRequestOverALateLinkAtTheEndOfTheReuseTimeIsAnswered)
{
    constexpr auto margin = std::chrono::milliseconds(50);
    constexpr Duration delay = milliseconds(600);
    for (const int limit : {1000, 2000}) {
        CallerSettings limits;
        limits.idleTimeout = milliseconds(limit);
        TwoVms vms(true, "token", limits);
        LateCaller caller(vms.port(), delay, limits.idleTimeout);
        std::this_thread::sleep_until(caller.reuseEnd() - margin);
        cr_expect(caller.isAnswered(), "limit %d", limit);
    }
}

Test(runtime, answersStateHowLongTheirConnectionMayBeReused)
{
    TwoVms vms(true);
    const auto statedFor = [&vms](const std::string &path, const std::string &body, const std::string &headers) {
        Caller caller(vms.port());
        caller.post(path, body, headers);
        return std::string(caller.read()["Keep-Alive"]);
    };
    cr_expect(statedFor("/v1/completions", assembled, "") == "timeout=2");
    cr_expect(statedFor("/v1/completions", streamed, "") == "timeout=2");
    cr_expect(statedFor("/none", "", "") == "timeout=2");
    cr_expect(statedFor("/v1/completions", assembled, "Connection: close\r\n").empty());
    cr_expect(statedFor("/v1/completions", streamed, "Connection: close\r\n").empty());
}
