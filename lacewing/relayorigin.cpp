// Software versions of streams: a resumption learns which version may run it before it is placed, and each endpoint
// that a stream is sent to has its version remembered. The rules are in resumption.

#include "relay.h"

#include <utility>

#include "eventlog.h"
#include "gateway.h"
#include "resumption.h"

namespace lacewing {

void Relay::findOrigin()
{
    switch (decideOriginStep(*this->route, this->info, this->forwarded)) {
    case OriginStep::None:
        this->place();
        return;
    case OriginStep::TakeForwarded:
        this->resumeAs({OriginResult::Known, this->forwarded->softwareVersion, "forwarded"});
        return;
    case OriginStep::Find:
        break;
    }
    if (!this->gateway.findOrigin) {
        this->place();
        return;
    }
    this->awaitsOrigin = true;
    this->gateway.findOrigin(this->organisationName(), this->service, originAttempt(this->info),
                             [self = this->shared_from_this()](const OriginOutcome &outcome) {
                                 self->run([&] { self->onOrigin(outcome); });
                             });
}

void Relay::onOrigin(const OriginOutcome &outcome)
{
    if (this->done || !this->awaitsOrigin) { // it has ended meanwhile, or was answered before
        return;
    }
    this->awaitsOrigin = false;
    this->resumeAs(outcome);
}

void Relay::resumeAs(const OriginOutcome &outcome)
{
    const ResumptionDecision decision = decideResumption(outcome);
    if (decision.refused) {
        this->gateway.counts.originsUnknown += 1;
        logEvent("origin_unknown",
                 {{"id", this->info.id},
                  {"service", this->service},
                  {"resumes", this->info.resumedAttempt},
                  {"source", std::string(outcome.source)},
                  {"age_ms", inMilliseconds(this->age())}});
        this->sendGatewayAnswer(ResultCode::OriginUnknown, unknownOriginRetryAfter);
        return;
    }
    this->gateway.counts.streamsResumed[std::string(outcome.source)] += 1;
    logEvent("stream_resumed",
             {{"id", this->info.id},
              {"service", this->service},
              {"resumes", this->info.resumedAttempt},
              {"software_version", outcome.softwareVersion},
              {"source", std::string(outcome.source)},
              {"age_ms", inMilliseconds(this->age())}});
    this->softwareVersion = decision.softwareVersion;
    this->place();
}

void Relay::onVersionGone()
{
    if (this->gateway.confirmList && !std::exchange(this->versionGoneChecked, true)) {
        this->gateway.confirmList([self = this->shared_from_this()](bool confirmed) {
            self->run([&] { self->onListConfirmed(confirmed); });
        });
        return;
    }
    this->refuseVersionGone(Duration {0});
}

void Relay::onListConfirmed(bool confirmed)
{
    if (this->done) {
        return;
    }
    if (confirmed) {
        this->place();
    } else { // another VM may know an endpoint of the version
        this->refuseVersionGone(unknownOriginRetryAfter);
    }
}

void Relay::refuseVersionGone(Duration retryAfter)
{
    logEvent("version_gone",
             {{"id", this->info.id},
              {"service", this->service},
              {"software_version", this->softwareVersion.value_or(std::string())},
              {"list_confirmed", retryAfter.count() == 0 ? "yes" : "no"},
              {"list_age_ms", inMilliseconds(this->gateway.now() - this->gateway.fleetState.list.current)}});
    this->sendGatewayAnswer(ResultCode::VersionGone, retryAfter);
}

void Relay::recordOrigin(const FleetEndpoint &target)
{
    const std::string &attempt = originAttempt(this->info);
    if (this->gateway.recordOrigin && keepsOrigins(*this->route) && !attempt.empty()) {
        this->sentVersion = target.entry.softwareVersion;
        this->gateway.recordOrigin(this->organisationName(), this->service, attempt, this->sentVersion);
    }
}

void Relay::reportBegun() const
{
    const std::string &attempt = originAttempt(this->info);
    if (this->gateway.onStreamBegun && this->peer.empty() && keepsOrigins(*this->route) && !attempt.empty()) {
        this->gateway.onStreamBegun(this->organisationName(), this->service, attempt, this->sentVersion);
    }
}

void Relay::recordBegunOrigin(const ServiceName &changed)
{
    const std::string &attempt = originAttempt(this->info);
    const bool begun = this->peer.empty() && this->timeToFirstByte.count() > 0 && this->service == changed;
    if (begun && !this->done && keepsOrigins(*this->route) && !attempt.empty()) {
        this->gateway.recordOrigin(this->organisationName(), this->service, attempt, this->sentVersion);
        this->reportBegun();
    }
}

void Gateway::recordBegunOrigins(const ServiceName &service)
{
    for (const auto &relay : this->relays) {
        relay->recordBegunOrigin(service);
    }
}

OrganisationName Relay::organisationName() const
{
    return this->organisation == nullptr ? OrganisationName() : this->organisation->name;
}

} // namespace lacewing
