// The part of PlacementOwner that follows loads of models. A report names the adapters that are being loaded but no
// models: an endpoint that carries out an order and holds nothing is loading one, for this owner or for the one before.

#include "placementowner.h"

#include <algorithm>

#include "clock.h"
#include "eventlog.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// The end of a load that was not in a report for longer than this is not known well enough to learn from it.
constexpr Duration maxUnseenTime = milliseconds(500);

wire::ModelLoads encode(const ZoneModelLoads &loads)
{
    wire::ModelLoads encoded;
    const auto set = [&encoded](std::int64_t number, void (wire::ModelLoads::*setter)(std::int32_t)) {
        if (number != 0) { // numbers that are 0 are left out
            (encoded.*setter)(static_cast<std::int32_t>(number));
        }
    };
    set(loads.waiting, &wire::ModelLoads::__set_waiting);
    set(loads.loading, &wire::ModelLoads::__set_loading);
    set(loads.placed, &wire::ModelLoads::__set_placed);
    set(loads.limit.epoch, &wire::ModelLoads::__set_epoch);
    set(loads.limit.base, &wire::ModelLoads::__set_base);
    set(loads.limit.completed, &wire::ModelLoads::__set_completed);
    set(toMilliseconds(loads.limit.unshared), &wire::ModelLoads::__set_unsharedMilliseconds);
    set(loads.engines, &wire::ModelLoads::__set_engines);
    return encoded;
}

ZoneModelLoads decode(const wire::ModelLoads &encoded)
{
    ZoneModelLoads loads;
    loads.waiting = encoded.waiting;
    loads.loading = encoded.loading;
    loads.placed = encoded.placed;
    loads.engines = encoded.engines;
    loads.limit = {encoded.epoch, encoded.base, encoded.completed, milliseconds(encoded.unsharedMilliseconds)};
    return loads;
}

} // namespace

void PlacementOwner::trackModelLoad(const EndpointName &id, PlacedEndpoint &endpoint, const EndpointReport &report)
{
    const TimePoint time = this->now();
    if (!report.busy) {
        if (endpoint.modelLoad) {
            const ModelLoad load = *endpoint.modelLoad;
            endpoint.modelLoad.reset();
            this->onModelLoadEnd(id, load, report.held.contains(load.model));
        }
        return;
    }
    if (!endpoint.modelLoad && report.held.empty()) {
        endpoint.modelLoad = ModelLoad {};
        endpoint.modelLoad->since = time;
        endpoint.modelLoad->fromOwnCopy = !endpoint.ownCopies.empty();
    }
    if (!endpoint.modelLoad) {
        return;
    }
    ModelLoad &load = *endpoint.modelLoad;
    if (!load.model.empty()) {
        endpoint.loading[load.model] = {0, load.since};
    }
    const std::int32_t concurrent
        = countModelLoads(this->state, time).loading + loadsElsewhere(this->modelLoadControl, this->zone, time);
    load.lastSeen = time;
    load.concurrentSum += std::max(1, concurrent);
    load.reports += 1;
    load.mostConcurrent = std::max(load.mostConcurrent, concurrent);
}

void PlacementOwner::onModelLoadEnd(const EndpointName &id, const ModelLoad &load, bool held)
{
    const TimePoint time = this->now();
    ModelLoadEnd end;
    end.begun = load.since;
    end.took = time - load.since;
    end.loadTime = modelLoadTime(this->state, this->state.endpoints.at(id), load.model);
    end.concurrent = load.reports > 0 ? load.concurrentSum / load.reports : 1;
    if (load.accepted && held && !load.fromOwnCopy && time - load.lastSeen <= maxUnseenTime) {
        recordModelLoadEnd(this->modelLoadControl, end, this->engineCount(), time);
    }
    logEvent("model_load_ended",
             {{"endpoint", id},
              {"weights", load.model},
              {"loaded", held ? "yes" : "no"},
              {"took_ms", inMilliseconds(end.took)},
              {"load_time_ms", inMilliseconds(end.loadTime)},
              {"concurrent", std::to_string(end.concurrent)},
              {"limit", std::to_string(this->modelLoadLimit())},
              {"epoch", std::to_string(this->modelLoadControl.limit.epoch)}});
}

void PlacementOwner::recordModelLoads(const ZoneName &ofZone, const wire::ModelLoads &loads, std::int64_t fencedBy)
{
    if (this->isActive && ofZone == this->zone) {
        return;
    }
    recordZoneLoads(this->modelLoadControl, ofZone, decode(loads), fencedBy, this->now());
    if (this->isActive && countModelLoads(this->state, this->now()).waiting > 0) {
        this->requestPlan();
    }
}

void PlacementOwner::refreshModelLoads()
{
    if (!this->isActive) {
        return;
    }
    this->refillModelLoadTokens();
    if (countModelLoads(this->state, this->now()).waiting > 0) {
        this->requestPlan();
    }
    this->stateModelLoads(true);
}

bool PlacementOwner::knowsModelLoads() const
{
    const bool heardAll = !this->state.endpoints.empty()
        && std::all_of(this->state.endpoints.begin(), this->state.endpoints.end(),
                       [](const auto &entry) { return entry.second.reported || entry.second.takenForEnded; });
    return heardAll || this->now() - this->modelLoadControl.hearingSince >= firstHearing;
}

std::size_t PlacementOwner::answeringEngines() const
{
    const auto &all = this->state.endpoints;
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto &entry) {
        return entry.second.reported && !entry.second.takenForEnded;
    }));
}

std::size_t PlacementOwner::engineCount() const
{
    std::map<ZoneName, ZoneEngines> known = this->engines;
    const auto own = known.find(this->zone);
    if (own != known.end()) {
        own->second.answering = std::min(own->second.listed, this->answeringEngines());
    }
    return countEngines(this->modelLoadControl, this->zone, known, this->now());
}

void PlacementOwner::recordStall(Duration length)
{
    recordOwnerStall(this->modelLoadControl, this->now());
    for (auto &[id, endpoint] : this->state.endpoints) {
        if (endpoint.modelLoad) {
            endpoint.modelLoad->ownerStalled += length;
        }
    }
}

void PlacementOwner::stateModelLoads(bool always)
{
    const bool mayLoad = this->isOrderAllowed() && this->state.modelLoadTokens >= 1;
    if (!this->isActive) {
        return; // it has ended within the call
    }
    if (!this->knowsModelLoads()) {
        return; // the other zones leave a share to one that has stated nothing
    }
    ZoneModelLoads loads = countModelLoads(this->state, this->now());
    loads.waiting = mayLoad ? loads.waiting : 0; // zones that can load now do not wait for this one
    const bool any = loads.waiting > 0 || loads.loading > 0;
    loads.limit = this->modelLoadControl.limit;
    loads.engines = static_cast<std::int32_t>(this->answeringEngines());
    const wire::ModelLoads next = encode(loads);
    const bool changed = next != this->statedModelLoads;
    this->statedModelLoads = next;
    if ((changed || (always && any)) && this->onModelLoads) {
        this->onModelLoads(next);
    }
}

ZoneModelLoads PlacementOwner::modelLoads() const
{
    return countModelLoads(this->state, this->now());
}

std::int32_t PlacementOwner::modelLoadLimit() const
{
    return lacewing::modelLoadLimit(this->modelLoadControl, this->engineCount());
}

} // namespace lacewing
