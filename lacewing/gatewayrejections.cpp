// Rejections by endpoints that fall over if they reject too many requests: what this VM's requests meet, and what other
// VMs announce. While a limit is in force, the event loop is watched: after a time in which it did not run, knowledge
// from before that time is not taken for knowledge of now. Regular ticks show the same for requests that waited to be
// read.

#include "gateway.h"

#include <algorithm>
#include <random>

#include "clock.h"
#include "eventlog.h"
#include "handlerguard.h"

namespace lacewing {

namespace {

/// Endpoints whose share is told to a VM that has started; a datagram holds several hundred.
constexpr std::size_t maxDigestEndpoints = 256;
/// Of the event loop while a limit is in force; without it, a VM that gets no requests would look as if it stood still.
constexpr Duration stallCheckInterval = milliseconds(100);
/// Without a tick for this time, this VM stands still or has just stood still. A server is to be handed at most 500 ms
/// more than its caller has left.
constexpr Duration tickTimeout = milliseconds(400);
/// What came meanwhile is read within this time after a late tick.
constexpr Duration backlogTime = milliseconds(1000);

} // namespace

bool Gateway::limitsRejections(const ServiceName &service) const
{
    const auto found = this->rejectionLimits.find(service);
    return found != this->rejectionLimits.end() && hasRejectionLimit(found->second, this->now());
}

void Gateway::recordRejectionLimit(const ServiceName &service, const AnswerInfo &answer, bool success)
{
    const TimePoint now = this->now();
    if (!answer.stated.maxRejections) {
        const auto known = this->rejectionLimits.find(service);
        if (success && known != this->rejectionLimits.end() && recordNoRejectionLimit(known->second, now)) {
            logEvent("rejection_limit_ended", {{"service", service}, {"id", answer.id}});
            this->wakeWaiting();
        }
        return;
    }
    const double rate = *answer.stated.maxRejections;
    if (!isPlausibleRejectionLimit(rate)) {
        this->counts.limitsIgnored += 1;
        logEvent("limit_ignored", {{"service", service}, {"id", answer.id}, {"rejections", std::to_string(rate)}});
    } else if (this->learnRejectionLimit(service, rate)) {
        logEvent("rejection_limit_named",
                 {{"service", service}, {"id", answer.id}, {"rejections", std::to_string(rate)}});
    }
}

bool Gateway::learnRejectionLimit(const ServiceName &service, double rate)
{
    const TimePoint now = this->now();
    RejectionLimit &limit = this->rejectionLimits[service];
    const bool isNew = !hasRejectionLimit(limit, now);
    const bool changed = lacewing::recordRejectionLimit(limit, rate, now);
    if (isNew && now - this->startedAt < newcomerTime) { // it knows as little as a VM that stood still
        for (const EndpointName &id : endpointsOf(this->fleetState, service)) {
            recordStall(this->fleetState.endpoints.at(id).rejections, Duration {0}, rate, this->draw(), now);
        }
    }
    this->watchStalls();
    return changed;
}

void Gateway::watchStalls()
{
    this->lastLimit = this->now();
    if (this->watchesStalls) {
        return;
    }
    this->watchesStalls = true;
    this->stallDetector.gap();
    this->checkStall();
}

void Gateway::tick()
{
    const TimePoint now = this->now();
    if (now - this->lastTick >= tickTimeout) {
        this->lateTick = now;
        this->lateTickGap = now - this->lastTick;
    }
    this->lastTick = now;
}

bool Gateway::hasStalledLately() const
{
    const TimePoint now = this->now();
    return now - this->lastTick >= tickTimeout || (this->lateTick && now - *this->lateTick < backlogTime);
}

Duration Gateway::signalDelay() const
{
    const TimePoint now = this->now();
    if (now - this->lastTick >= tickTimeout) {
        return now - this->lastTick;
    }
    const bool late = this->lateTick && now - *this->lateTick < tickTimeout;
    return late ? now - *this->lateTick + this->lateTickGap : Duration {0};
}

void Gateway::checkStall()
{
    if (!this->watchesStalls) {
        return;
    }
    const TimePoint now = this->now();
    const Duration gap = this->stallDetector.gap();
    if (gap >= minStall) {
        logEvent("limits_after_stall", {{"stalled_ms", inMilliseconds(gap)}});
        this->recordStallOfLimits(gap);
    }
    this->watchesStalls = now - this->lastLimit < rejectionLimitLifetime + gap;
    if (!this->watchesStalls) {
        return;
    }
    this->stallTimer.expires_after(stallCheckInterval);
    this->stallTimer.async_wait([this](const NetError &error) {
        if (!error) {
            runGuarded("stall_check", [this] { this->checkStall(); });
        }
    });
}

void Gateway::recordStallOfLimits(Duration length)
{
    const TimePoint now = this->now();
    for (auto &[service, limit] : this->rejectionLimits) {
        if (limit.rate == 0) {
            continue;
        }
        lacewing::recordStall(limit, length, now);
        for (const EndpointName &id : endpointsOf(this->fleetState, service)) {
            recordStall(this->fleetState.endpoints.at(id).rejections, length, limit.rate, this->draw(), now);
        }
    }
    for (auto &[id, endpoint] : this->fleetState.endpoints) {
        if (isLimited(endpoint.stated.limit)) {
            lacewing::recordStall(endpoint.stated.limit, now);
        }
    }
}

void Gateway::recordRejection(const EndpointName &id)
{
    this->counts.rejections += 1;
    const auto found = this->fleetState.endpoints.find(id);
    if (found == this->fleetState.endpoints.end() || !this->limitsRejections(found->second.entry.service)) {
        return;
    }
    wire::LimitNews update;
    update.endpoint = id;
    update.born = found->second.entry.born;
    update.__set_rejected(1);
    update.__set_maxRejections(this->rejectionLimits.at(found->second.entry.service).rate);
    this->applyRejections(update);
    if (this->onLimitUpdate) {
        this->onLimitUpdate(update);
    }
}

void Gateway::applyRejections(const wire::LimitNews &update)
{
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(update.endpoint);
    if (!isPlausibleRejectionLimit(update.maxRejections)) {
        return;
    }
    const TimePoint now = this->now();
    this->learnRejectionLimit(endpoint.entry.service, update.maxRejections);
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    const double shareBefore = requestShare(endpoint.rejections, now);
    recordRejections(endpoint.rejections, update.rejected, update.maxRejections, draw, now);
    logEvent("endpoint_rejected",
             {{"endpoint", update.endpoint},
              {"zone", endpoint.entry.zone},
              {"share_before", std::to_string(shareBefore)},
              {"within_second", std::to_string(endpoint.rejections.recent.size())},
              {"share", std::to_string(endpoint.rejections.share)},
              {"stopped_ms", inMilliseconds(std::max(Duration {0}, endpoint.rejections.stoppedUntil - now))}});
}

std::vector<wire::RejectionDigest> Gateway::rejectionDigests(const ZoneName &ofZone) const
{
    const TimePoint now = this->now();
    std::vector<wire::RejectionDigest> digests;
    for (const auto &[service, limit] : this->rejectionLimits) {
        if (!hasRejectionLimit(limit, now)) {
            continue;
        }
        wire::RejectionDigest digest;
        digest.maxRejections = limit.rate;
        digest.serviceName = service;
        for (const EndpointName &id : endpointsOf(this->fleetState, service)) {
            const FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
            const Duration stopped = std::max(Duration {0}, endpoint.rejections.stoppedUntil - now);
            wire::EndpointShare told;
            told.endpoint = id;
            told.born = endpoint.entry.born;
            told.share = stopped.count() > 0 ? endpoint.rejections.share : requestShare(endpoint.rejections, now);
            told.stoppedMilliseconds = static_cast<std::int32_t>(toMilliseconds(stopped));
            if (endpoint.entry.zone == ofZone && told.share < 1 && digest.endpoints.size() < maxDigestEndpoints) {
                digest.endpoints.push_back(std::move(told));
            }
        }
        digests.push_back(std::move(digest));
    }
    return digests;
}

void Gateway::applyRejectionDigest(const wire::RejectionDigest &digest)
{
    const TimePoint now = this->now();
    if (!isPlausibleRejectionLimit(digest.maxRejections) || !this->configInForce
        || !this->configInForce->services.contains(digest.serviceName)) {
        return;
    }
    if (this->learnRejectionLimit(digest.serviceName, digest.maxRejections)) {
        logEvent("rejection_limit_told",
                 {{"service", digest.serviceName},
                  {"rejections", std::to_string(digest.maxRejections)},
                  {"endpoints", std::to_string(digest.endpoints.size())}});
    }
    for (const wire::EndpointShare &told : digest.endpoints) {
        if (isIncarnation(this->fleetState, told.endpoint, told.born)) {
            adoptShare(this->fleetState.endpoints.at(told.endpoint).rejections, told.share,
                       milliseconds(told.stoppedMilliseconds), digest.maxRejections, now);
        }
    }
}

void Gateway::recordEndpointStart(const EndpointName &id)
{
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
    if (this->limitsRejections(endpoint.entry.service)) {
        const double rate = this->rejectionLimits.at(endpoint.entry.service).rate;
        recordStart(endpoint.rejections, rate, this->now());
    }
}

} // namespace lacewing
