// An attempt at an endpoint: the request is written, with the time that is left then, and the endpoint's counts follow.

#include "relay.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"
#include "gateway.h"
#include "requestrank.h"

namespace lacewing {

namespace {

/// Levels of urgency that an endpoint distinguishes.
constexpr std::int32_t urgencyLevels = 10;

} // namespace

void Relay::sendTo(const EndpointChoice &choice)
{
    const TimePoint now = this->gateway.now();
    FleetEndpoint &target = this->gateway.fleetState.endpoints.at(choice.endpoint);
    this->endpoint = choice.endpoint;
    this->incarnationStart = target.entry.born;
    this->returnMark = recordSend(target.stated.rest, now);
    target.ownRunning += 1;
    recordExchangeBegin(this->gateway.reach.of(this->service), now);
    this->countedAsSuspect = this->suspicion() == Suspicion::Suspected;
    target.ownCrashSuspects += this->countedAsSuspect ? 1 : 0;
    this->gateway.recordSend(choice.endpoint);
    this->awaitsAnswer = true;
    this->written = false;
    this->gateway.inUse[this->endpoint][this->weights] += 1;
    SendInfo send;
    send.endpoint = choice.endpoint;
    send.version = this->info.adapter.empty() ? 0 : choice.version;
    send.urgency = urgencyLevel(*this->config, this->rank(), urgencyLevels);
    send.dropsKey = this->config->requiresKeys;
    send.organisation = this->organisationName();
    this->sentAt = now;
    this->history.sends += 1;
    this->link
        = this->gateway.pool.take(choice.endpoint, target.entry.address, now, !mayRepeat(this->history), this->info.id);
    logEvent("request_sent",
             {{"id", this->info.id},
              {"digest", describe(this->content.digest)},
              {"route", this->route->name},
              {"endpoint", choice.endpoint},
              {"weights", this->weights},
              {"version", std::to_string(choice.version)},
              {"software_version", target.entry.softwareVersion},
              {"running", std::to_string(estimateRunning(target))},
              {"unanswered", std::to_string(countUnanswered(target.stated.limit.unanswered, now))},
              {"tokens", std::to_string(this->info.promptTokens)},
              {"ahead", std::to_string(tokensAhead(target.prompts, this->ticket))},
              {"turn_ms", inMilliseconds(this->pacingDelay)},
              {"send", std::to_string(this->history.sends)},
              {"list_age_ms", inMilliseconds(now - this->gateway.fleetState.list.current)},
              {"list_source", this->gateway.fleetState.list.source},
              {"config", std::to_string(this->config->version)},
              {"age_ms", inMilliseconds(this->age())}});
    this->recordOrigin(target);
    this->link->send(this->head.method == "HEAD", this->linkHandlers([send](const Relay &relay) {
        SendInfo timed = send;
        const Duration callerTimeout = relay.info.callerTimeout.value_or(relay.route->timeout);
        timed.callerTimeout = std::min(callerTimeout, relay.route->timeout) - relay.age();
        HttpRequestHead sent = relay.head;
        dropConnectionHeaders(sent.headers);
        relay.gateway.format.writeRequest(sent, timed);
        return formatRequest(sent, relay.body);
    }));
}

EndpointLink::Handlers Relay::linkHandlers(const std::function<std::string(const Relay &)> &makeRequest)
{
    const std::weak_ptr<Relay> weak = this->weak_from_this();
    EndpointLink::Handlers handlers;
    handlers.makeRequest = [weak, makeRequest] {
        const auto self = weak.lock();
        return self ? makeRequest(*self) : std::string();
    };
    handlers.onConnected = [weak] {
        if (const auto self = weak.lock()) {
            self->run([&self] { self->onConnected(); });
        }
    };
    handlers.mayWrite = [weak] {
        const auto self = weak.lock();
        bool allowed = false;
        if (self) {
            self->run([&self, &allowed] { allowed = self->mayWrite(); });
        }
        return allowed;
    };
    handlers.onProgress = [weak] {
        if (const auto self = weak.lock()) {
            self->run([&self] { self->onProgress(); });
        }
    };
    handlers.onFailure = [weak](LinkFailure failure) {
        if (const auto self = weak.lock()) {
            self->run([&self, failure] { self->onFailure(failure); });
        }
    };
    return handlers;
}

void Relay::releaseEndpoint()
{
    this->leaveQueue();
    this->releaseCopyLease();
    if (this->endpoint.empty()) {
        return;
    }
    this->recordUnansweredEnd(false, this->written); // unless the endpoint has answered
    recordExchangeEnd(this->gateway.reach.of(this->service));
    this->recordReturn(false); // unless the endpoint has answered
    if (isIncarnation(this->gateway.fleetState, this->endpoint, this->incarnationStart)) {
        FleetEndpoint &released = this->gateway.fleetState.endpoints.at(this->endpoint);
        released.ownRunning = std::max(0, released.ownRunning - 1);
        released.ownCrashSuspects -= this->countedAsSuspect ? 1 : 0;
        const auto used = this->gateway.inUse.find(this->endpoint);
        if (used != this->gateway.inUse.end() && --used->second[this->weights] <= 0) {
            used->second.erase(this->weights);
            if (used->second.empty()) {
                this->gateway.inUse.erase(used);
            }
        }
    }
    this->endpoint.clear();
}

void Relay::recordUnansweredEnd(bool answered, bool delivered)
{
    if (!std::exchange(this->awaitsAnswer, false)) {
        return;
    }
    if (answered) {
        this->gateway.recordAnswer({this->endpoint, this->incarnationStart}, this->service, this->sentAt);
    }
    this->gateway.changeUnanswered({this->endpoint, this->incarnationStart}, [&](UnansweredRequests &unanswered) {
        if (answered) {
            return recordAnswered(unanswered, this->sentAt, this->gateway.now());
        }
        if (delivered) {
            recordAbandoned(unanswered, this->sentAt);
        } else {
            recordUndelivered(unanswered);
        }
        return 0;
    });
}

void Relay::recordReturn(bool accepted)
{
    const auto found = this->gateway.fleetState.endpoints.find(this->endpoint);
    if (found != this->gateway.fleetState.endpoints.end()) {
        recordEnd(found->second.stated.rest, std::exchange(this->returnMark, std::nullopt), accepted);
    }
}

} // namespace lacewing
