// Connects the memory of the software versions that began streams to the data path, the list, the datagrams and the
// timers of the VM.
//
// A version that is gone from the list may have begun a stream that is resumed here. What this VM has not watched
// itself it is told by other VMs, or by what the VMs have stored (entrynodehistory.cpp).
//
// That a version is the only one is concluded from what is not listed. The list of a VM that stands still, is cut off
// or has its calls to the store held up may be as old as that, so the conclusion waits for a read that was begun after
// the stream was taken up (listconfirmation.h). Without one, a stream goes on only if a VM remembers it.

#include "entrynode.h"

#include <algorithm>
#include <random>
#include <utility>

#include "eventlog.h"

namespace lacewing {

namespace {

/// A resumption that waits for other VMs to tell of the versions that they have seen looks again after this time.
constexpr Duration versionsRetryInterval = milliseconds(200);
/// A stored time is stored again if it has grown by this much. Some seconds less are covered by listAgeMargin.
constexpr std::int64_t storedMixStep = 5; ///< seconds
/// A resumption that waits until the stored streams are read looks again after this time.
constexpr Duration storedOriginsInterval = milliseconds(20);
/// Key of the ask by which VMs of builds without HistoryAsk ask for the versions that a VM has seen. No stream has it,
/// since its attempt has an id.
StreamKey versionsKey(const ServiceName &service)
{
    return streamKey({}, service, {});
}

} // namespace

OriginSettings EntryNode::originSettings() const
{
    // Half of the numbers are left to count up.
    return {this->settings.vm, this->settings.zone, this->gossip.ownIncarnation() / 2};
}

OriginPorts EntryNode::originPorts()
{
    OriginPorts ports;
    ports.sendRecords
        = [this](const VmId &vm, const wire::OriginRecords &records) { this->gossip.sendOriginRecords(vm, records); };
    ports.ask = [this](const VmId &vm, const wire::OriginAsk &ask) { this->gossip.sendOriginAsk(vm, ask); };
    ports.answer
        = [this](const VmId &vm, const wire::OriginAnswer &answer) { this->gossip.sendOriginAnswer(vm, answer); };
    ports.zoneVms = [this] { return this->originVms(true); };
    ports.otherZonesVms = [this] { return this->originVms(false); };
    ports.wakeAfter = [this](Duration delay) { this->after(delay, [this] { this->origins.expire(); }); };
    return ports;
}

std::vector<OriginVm> EntryNode::originVms(bool ownZone) const
{
    const TimePoint now = this->clock.now();
    std::vector<OriginVm> vms;
    for (const auto &[name, vm] : this->gossip.vms()) {
        if ((vm.zone == this->settings.zone) == ownZone && mayBeRunning(vm, now)) {
            vms.push_back({name, vm.zone, !ownZone || isAlive(vm, now)}); // VMs of other zones are heard seldom
        }
    }
    return vms;
}

void EntryNode::connectOrigins()
{
    this->gossip.onOriginAsk
        = [this](const VmId &vm, const wire::OriginAsk &ask) { this->origins.receiveAsk(vm, ask); };
    this->gossip.onOriginAnswer
        = [this](const VmId &vm, const wire::OriginAnswer &answer) { this->origins.receiveAnswer(vm, answer); };
    this->origins.answerOther = [this](StreamKey key) { return this->answerVersions(key); };
    this->gossip.onListAsk
        = [this](const VmId &vm, const wire::ListAsk &ask) { this->listConfirmation.receiveAsk(vm, ask); };
    this->gossip.onListAnswer
        = [this](const VmId &vm, const wire::ListAnswer &answer) { this->listConfirmation.receiveAnswer(vm, answer); };
    this->dataPath.recordOrigin = [this](const OrganisationName &organisation, const ServiceName &service,
                                         const std::string &attempt, const std::string &softwareVersion) {
        const StreamKey key = streamKey(organisation, service, attempt);
        const Duration life = this->versions[service].streamLife;
        if (needsOrigins(this->versions, service, this->clock.now())) {
            this->origins.record(key, softwareVersion, life);
        } else {
            this->origins.remember(key, softwareVersion, life);
        }
    };
    this->dataPath.confirmList = [this](ListConfirmation::Done done) {
        this->listConfirmation.confirm([this, done = std::move(done)](bool confirmed) {
            done(confirmed && isComplete(this->dataPath.configProof.store, this->clock.now()));
        });
    };
    this->dataPath.findOrigin = [this](const OrganisationName &organisation, const ServiceName &service,
                                       const std::string &attempt, const OriginDone &done) {
        this->findStreamOrigin({organisation, service, attempt, done});
    };
}

ListConfirmationPorts EntryNode::listConfirmationPorts()
{
    ListConfirmationPorts ports;
    ports.owner = [this] {
        const std::optional<VmId> owning = this->originStorer();
        return owning == this->settings.vm ? std::nullopt : owning;
    };
    ports.mayRead = [this] { return this->storeUp && this->onListCheck; };
    ports.read = [this] { this->onListCheck(); };
    ports.position = [this] { return this->dataPath.fleet().list.position; };
    ports.ask = [this](const VmId &vm, const wire::ListAsk &ask) { this->gossip.sendListAsk(vm, ask); };
    ports.answer = [this](const VmId &vm, const wire::ListAnswer &answer) { this->gossip.sendListAnswer(vm, answer); };
    ports.wakeAfter = [this](Duration delay) { this->after(delay, [this] { this->listConfirmation.expire(); }); };
    return ports;
}

void EntryNode::findStreamOrigin(const OriginQuery &query)
{
    this->checkForStall(); // the request may have come while this VM stood still
    this->restoreOrigins();
    if (!query.attempt.empty()) {
        if (const std::string *known
            = this->origins.known(streamKey(query.organisation, query.service, query.attempt))) {
            query.done({OriginResult::Known, *known, "own_memory"});
            return;
        }
    }
    if (this->awaitsStoredOrigins(query.service)) {
        this->after(storedOriginsInterval, [this, query] { this->findStreamOrigin(query); });
        return;
    }
    switch (this->versionsKnown(query.service)) {
    case VersionsKnown::Wait:
        this->awaitHistory(query);
        return;
    case VersionsKnown::No:
        this->findRecordedOrigin(query, "versions_not_known");
        return;
    case VersionsKnown::Yes:
        break;
    }
    const auto outcome = decideWithoutRecord(this->versions, query.service, !query.attempt.empty(), this->clock.now());
    if (outcome && outcome->result != OriginResult::Unknown) {
        this->listConfirmation.confirm([this, query](bool confirmed) { this->concludeOrigin(query, confirmed); });
        return;
    }
    this->concludeOrigin(query, true);
}

void EntryNode::awaitHistory(const OriginQuery &query)
{
    this->originQueries.push_back(query);
    if (this->originQueries.size() == 1) {
        this->after(versionsRetryInterval, [this] { this->retryOriginQueries(); });
    }
}

void EntryNode::retryOriginQueries()
{
    for (const OriginQuery &query : std::exchange(this->originQueries, {})) {
        this->findStreamOrigin(query);
    }
}

void EntryNode::findRecordedOrigin(const OriginQuery &query, std::string_view reason)
{
    const StreamKey key = streamKey(query.organisation, query.service, query.attempt);
    this->origins.find(key, {}, OriginScope::Zone, [done = query.done, reason](const OriginOutcome &outcome) {
        const bool unknown = outcome.result == OriginResult::Unknown;
        done(unknown ? OriginOutcome {OriginResult::Unknown, {}, reason} : outcome);
    });
}

void EntryNode::concludeOrigin(const OriginQuery &query, bool listConfirmed)
{
    if (!listConfirmed) {
        this->findRecordedOrigin(query, "list_not_confirmed");
        return;
    }
    if (this->versionsKnown(query.service) != VersionsKnown::Yes) { // the read has shown a gap in what this VM has seen
        this->findStreamOrigin(query);
        return;
    }
    const TimePoint now = this->clock.now();
    if (const auto outcome = decideWithoutRecord(this->versions, query.service, !query.attempt.empty(), now)) {
        this->logSoleVersion(query.service, *outcome);
        query.done(*outcome);
        return;
    }
    this->origins.find(streamKey(query.organisation, query.service, query.attempt),
                       originBasis(this->versions, query.service, now), OriginScope::Holders, query.done);
}

void EntryNode::logSoleVersion(const ServiceName &service, const OriginOutcome &outcome) const
{
    const TimePoint now = this->clock.now();
    const ServiceVersions &seen = this->versions.at(service);
    if (outcome.result != OriginResult::Unknown) {
        logEvent("sole_version",
                 {{"service", service},
                  {"software_version", outcome.softwareVersion},
                  {"watched_ms", inMilliseconds(now - seen.watchedSince.value_or(now))},
                  {"asked", std::to_string(this->history.counts.asked)},
                  {"told", std::to_string(this->history.counts.answered)},
                  {"era", std::to_string(this->dataPath.configProof.store.era)}});
    }
}

void EntryNode::storeMixes()
{
    if (!this->owner.active()) {
        return; // the owner of the zone stores what all of its VMs see
    }
    const TimePoint now = this->clock.now();
    for (auto &[service, one] : this->versions) {
        const Duration left = one.streamLife.count() > 0 ? mixedFor(one, now) : Duration {0};
        const std::int64_t until = this->clock.unixSeconds(now + left);
        if (left.count() == 0 || until < one.storedUntil + storedMixStep) {
            continue;
        }
        const std::int64_t before = std::exchange(one.storedUntil, until);
        this->port.storeMix(service, until, [this, name = service, before, until](bool stored) {
            ServiceVersions &changed = this->versions[name];
            if (!stored && changed.storedUntil == until) {
                changed.storedUntil = before; // stored with the next heartbeat
            }
        });
    }
}

void EntryNode::recordStoredMix(const ServiceName &service, std::int64_t untilUnixSeconds)
{
    const TimePoint now = this->clock.now();
    const std::int64_t left = std::clamp<std::int64_t>(untilUnixSeconds - this->clock.unixSeconds(now), 0,
                                                       toMilliseconds(maxStreamLife + listAgeMargin) / 1000);
    if (left > 0) {
        lacewing::recordStoredMix(this->versions, service, std::chrono::seconds(left), now);
    }
}

std::optional<wire::OriginAnswer> EntryNode::answerVersions(StreamKey key) const
{
    const TimePoint now = this->clock.now();
    for (const auto &[service, one] : this->versions) {
        if (one.streamLife.count() > 0 && versionsKey(service) == key) {
            wire::OriginAnswer answer;
            answer.known = !needsOrigins(this->versions, service, now);
            answer.softwareVersion = soleVersion(this->versions, service, now);
            answer.collectedMilliseconds = toMilliseconds(now - one.watchedSince.value_or(now));
            return answer;
        }
    }
    return std::nullopt;
}

EntryNode::ListedVersion EntryNode::listedVersion(const EndpointName &id) const
{
    const auto &endpoints = this->dataPath.fleet().endpoints;
    const auto found = endpoints.find(id);
    return found == endpoints.end() ? ListedVersion {}
                                    : ListedVersion {found->second.entry.service, found->second.entry.softwareVersion};
}

void EntryNode::recordVersionChange(const EndpointName &id, const ListedVersion &before)
{
    const TimePoint now = this->clock.now();
    const ListedVersion after = this->listedVersion(id);
    this->noteListGap(now);
    if (before.softwareVersion && after.softwareVersion && before.service != after.service) {
        recordVersions(this->versions, before.service, before.softwareVersion, std::nullopt, now);
        recordVersions(this->versions, after.service, std::nullopt, after.softwareVersion, now);
        return;
    }
    const ServiceName &service = after.softwareVersion ? after.service : before.service;
    const bool mixedBefore = needsOrigins(this->versions, service, now);
    recordVersions(this->versions, service, before.softwareVersion, after.softwareVersion, now);
    if (!mixedBefore && needsOrigins(this->versions, service, now)) {
        this->dataPath.recordBegunOrigins(service);
        this->restoreOrigins();
    }
    if (before.softwareVersion != after.softwareVersion) {
        this->storeMixes();
    }
}

} // namespace lacewing
