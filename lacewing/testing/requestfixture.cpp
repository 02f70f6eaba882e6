#include "requestfixture.h"

#include <criterion/criterion.h>

namespace lacewing::testing {

RequestFixture::RequestFixture()
{
    this->blackboard.settings.vm = "vm-1";
    this->blackboard.settings.incarnation = 7;
    this->blackboard.settings.zone = "z";
    this->blackboard.settings.keySecret = "test secret";
    this->blackboard.membership.listed["vm-2"].zone = "z"; // the owner is alive as far as this VM knows
    for (const std::string name : {"e1", "e2"}) {
        wire::EndpointSpec endpoint;
        endpoint.name = name;
        endpoint.zone = "z";
        endpoint.baseModel = "base";
        this->blackboard.config.endpoints[name] = endpoint;
        wire::ClaimState claim;
        claim.resource = endpointResource(name);
        claim.vm = "vm-2";
        claim.offset = 5;
        this->blackboard.claims.current[claim.resource] = claim;
    }
    AdapterInfo adapter;
    adapter.member = "tala";
    adapter.baseModel = "base";
    adapter.versions[1] = {};
    adapter.assignedVersion = 1;
    this->blackboard.config.adapters["menu"] = adapter;
}

void RequestFixture::send(const Event &event)
{
    for (const Action &action : step(this->blackboard, event, this->now)) {
        if (const auto *offer = std::get_if<OfferAttempt>(&action)) {
            this->offers.push_back(*offer);
        } else if (const auto *cancel = std::get_if<CancelOffer>(&action)) {
            this->cancels.push_back(*cancel);
        } else if (const auto *finish = std::get_if<FinishRequest>(&action)) {
            this->finishes.push_back(*finish);
        } else if (const auto *key = std::get_if<KeyMinted>(&action)) {
            this->minted.push_back(*key);
        } else if (const auto *append = std::get_if<AppendRecord>(&action)) {
            this->appends.push_back(append->record);
        } else if (const auto *peer = std::get_if<SendPeer>(&action)) {
            this->sent.push_back(*peer);
        } else if (const auto *counted = std::get_if<Count>(&action)) {
            this->counts[counted->counter] += counted->by;
        }
    }
}

RequestId RequestFixture::arrive(RequestArrived arrival)
{
    constexpr Duration usualDeadline = milliseconds(60000);
    arrival.request.node = this->blackboard.settings.incarnation;
    arrival.request.number = this->nextRequest++;
    arrival.member = "tala";
    if (arrival.service.empty() && arrival.target.adapter.empty()) {
        arrival.target = makeAdapterVersion("menu", 1);
    }
    if (arrival.deadline == TimePoint {}) {
        arrival.deadline = this->now + usualDeadline;
    }
    this->send(arrival);
    return arrival.request;
}

void RequestFixture::accept()
{
    this->send(OfferAccepted {this->offers.back().offer.attempt});
}

void RequestFixture::progress(std::int64_t position)
{
    this->send(AttemptProgressed {this->offers.back().offer.attempt, position});
}

void RequestFixture::end(AttemptOutcome outcome, ResultCode code, std::int64_t position)
{
    wire::AttemptResult result;
    result.outcome = outcome;
    result.code = static_cast<std::int32_t>(code);
    result.position = position;
    this->send(AttemptEnded {this->offers.back().offer.attempt, result});
}

void RequestFixture::advance(Duration span)
{
    const TimePoint until = this->now + span;
    while (this->now < until) {
        this->now = std::min(until, this->now + tickInterval);
        this->send(Tick {});
    }
}

RequestOutcome RequestFixture::outcomeOf(const RequestId &request) const
{
    for (const FinishRequest &finish : this->finishes) {
        if (finish.request == request) {
            return finish.outcome;
        }
    }
    cr_assert_fail("the request has not ended");
    return RequestOutcome::Unknown;
}

ResultCode RequestFixture::codeOf(const RequestId &request) const
{
    for (const FinishRequest &finish : this->finishes) {
        if (finish.request == request) {
            return finish.code;
        }
    }
    cr_assert_fail("the request has not ended");
    return ResultCode::Ok;
}

std::int64_t RequestFixture::count(Counter counter) const
{
    const auto found = this->counts.find(counter);
    return found == this->counts.end() ? 0 : found->second;
}

} // namespace lacewing::testing
