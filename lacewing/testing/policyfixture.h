// One VM that owns engines e1, e2, … and knows adapters a0, a1, …, for the tests of queues and loads.

#pragma once

#include <string>
#include <vector>

#include "blackboard.h"
#include "queuecontroller.h"
#include "step.h"

namespace lacewing {

struct PolicyFixture {
    Blackboard blackboard;
    TimePoint now {std::chrono::seconds(100)};
    std::int64_t nextRequest = 1;

    /// @param engines how many engines to own
    /// @param slots adapter slots of each
    /// @param places runs of each
    PolicyFixture(int engines, int slots, int places)
    {
        this->blackboard.settings.vm = "vm-1";
        this->blackboard.settings.zone = "zone-a";
        Actions ignored;
        for (int index = 1; index <= engines; ++index) {
            wire::EndpointSpec spec;
            spec.name = "e" + std::to_string(index);
            spec.zone = "zone-a";
            spec.baseModel = "base";
            spec.adapterSlots = slots;
            spec.maxRunning = places;
            this->blackboard.config.endpoints[spec.name] = spec;
            wire::ClaimState &claim = this->blackboard.claims.current[endpointResource(spec.name)];
            claim.vm = "vm-1";
            claim.offset = index;
            takeEndpoint(this->blackboard, spec.name, index + 1, this->now, ignored);
            this->report(spec.name, {}, "start", 0);
        }
    }

    /// @param count how many adapters a0, a1, … to create, each of member m0, m1, …
    void addAdapters(int count)
    {
        for (int index = 0; index < count; ++index) {
            AdapterInfo info;
            info.member = "m" + std::to_string(index);
            info.baseModel = "base";
            info.versions[1] = {"source", false};
            info.assignedVersion = 1;
            this->blackboard.config.adapters["a" + std::to_string(index)] = info;
        }
    }

    /// @param event what happens now
    /// @return the actions taken
    Actions send(const Event &event)
    {
        return step(this->blackboard, event, this->now);
    }

    /// @param by time to let pass, with the ticks that belong to it
    /// @return the actions taken
    Actions wait(Duration by)
    {
        Actions all;
        for (const TimePoint end = this->now + by; this->now < end;) {
            this->now = std::min(end, this->now + tickInterval);
            for (Action &action : this->send(Tick {})) {
                all.push_back(std::move(action));
            }
        }
        return all;
    }

    /// @param endpoint for which endpoint
    /// @param adapter which adapter, by number
    /// @param requestClass its class
    /// @return an offer with a minute left
    OfferArrived offer(const EndpointName &endpoint, int adapter, RequestClass requestClass = RequestClass::Urgent)
    {
        OfferArrived event;
        event.from = "vm-2";
        event.offer.attempt.request.number = this->nextRequest++;
        event.offer.attempt.number = 1;
        event.offer.endpoint = endpoint;
        event.offer.member = "m" + std::to_string(adapter);
        event.offer.adapter = makeAdapterVersion("a" + std::to_string(adapter), 1);
        event.offer.requestClass = requestClass;
        event.offer.remainingMilliseconds = 60000;
        event.offer.maxTokens = 100;
        return event;
    }

    /// @param endpoint whose order ended
    /// @param adapter which adapter, by number
    /// @param kind which order
    /// @param code how it ended
    /// @return the actions taken
    Actions endOrder(const EndpointName &endpoint, int adapter, OrderKind kind, ResultCode code = ResultCode::Ok,
                     Duration retryAfter = Duration(0))
    {
        const AdapterVersion version = makeAdapterVersion("a" + std::to_string(adapter), 1);
        return this->send(OrderEnded {endpoint, version, kind, code, retryAfter});
    }

    /// Loads an adapter by a request that runs to its end.
    void makeResident(const EndpointName &endpoint, int adapter)
    {
        const OfferArrived event = this->offer(endpoint, adapter);
        this->send(event);
        this->endOrder(endpoint, adapter, OrderKind::Load);
        this->endRun(endpoint, event.offer.attempt, AttemptOutcome::Completed);
        this->wait(milliseconds(400));
    }

    /// @param endpoint where the run was
    /// @param attempt which
    /// @param outcome how it ended
    /// @param code result code
    /// @return the actions taken
    Actions endRun(const EndpointName &endpoint, const AttemptId &attempt, AttemptOutcome outcome,
                   ResultCode code = ResultCode::Ok)
    {
        RunEnded ended;
        ended.endpoint = endpoint;
        ended.attempt = attempt;
        ended.result.outcome = outcome;
        ended.result.code = static_cast<std::int32_t>(code);
        return this->send(ended);
    }

    /// @param endpoint which reports
    /// @param adapters what it holds
    /// @param incarnation its incarnation
    /// @param running its runs
    /// @return the actions taken
    Actions report(const EndpointName &endpoint, const std::vector<int> &adapters, const std::string &incarnation,
                   int running)
    {
        EndpointReported reported;
        reported.endpoint = endpoint;
        reported.incarnation = incarnation;
        reported.running = running;
        for (const int adapter : adapters) {
            reported.resident.push_back(makeAdapterVersion("a" + std::to_string(adapter), 1));
        }
        return this->send(reported);
    }
};

/// @param actions actions to look through
/// @return those of one kind
template<typename Kind>
std::vector<Kind> only(const Actions &actions)
{
    std::vector<Kind> found;
    for (const Action &action : actions) {
        if (const Kind *kind = std::get_if<Kind>(&action)) {
            found.push_back(*kind);
        }
    }
    return found;
}

} // namespace lacewing
