// Connects the memory of the software versions that began streams to the data path, the list, the datagrams and the
// timers of the VM.
//
// A VM that has just started asks some VMs of its zone which versions they have seen, until one of them has watched for
// as long as a stream may be resumed: a version that is gone from the list may have begun a stream that is resumed
// here. If all VMs have just started, the platform's store says whether there was another version.

#include "entrynode.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lacewing {

namespace {

/// A VM that has just started asks other VMs for the versions that they have seen this often, at this interval.
constexpr int versionAskRounds = 5;
constexpr Duration versionAskInterval = milliseconds(200);
/// A stored time is stored again if it has grown by this much. Some seconds less are covered by listAgeMargin.
constexpr std::int64_t storedMixStep = 5; ///< seconds
/// A resumption that waits until the stored streams are read looks again after this time.
constexpr Duration storedOriginsInterval = milliseconds(20);
/// VMs that are asked in each round.
constexpr std::size_t versionAsks = 2;

/// Key of the ask for the versions that a VM has seen. No stream has it, since its attempt has an id.
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
    this->origins.onOtherAnswer
        = [this](StreamKey key, const wire::OriginAnswer &answer) { this->receiveVersions(key, answer); };
    this->dataPath.recordOrigin = [this](const OrganisationName &organisation, const ServiceName &service,
                                         const std::string &attempt, const std::string &softwareVersion) {
        if (needsOrigins(this->versions, service, this->clock.now())) {
            this->origins.record(streamKey(organisation, service, attempt), softwareVersion,
                                 this->versions[service].streamLife);
        }
    };
    this->dataPath.findOrigin
        = [this](const OrganisationName &organisation, const ServiceName &service, const std::string &attempt,
                 const OriginDone &done) { this->findStreamOrigin(organisation, service, attempt, done); };
}

void EntryNode::findStreamOrigin(const OrganisationName &organisation, const ServiceName &service,
                                 const std::string &attempt, const OriginDone &done)
{
    const TimePoint now = this->clock.now();
    this->restoreOrigins();
    if (this->awaitsStoredOrigins(service)) {
        this->after(storedOriginsInterval, [this, organisation, service, attempt, done] {
            this->findStreamOrigin(organisation, service, attempt, done);
        });
        return;
    }
    if (this->versionsUnsettled(service)) {
        this->after(versionAskInterval, [this, organisation, service, attempt, done] {
            this->findStreamOrigin(organisation, service, attempt, done);
        });
        return;
    }
    const auto known = this->versions.find(service);
    const bool watched = known != this->versions.end() && watchedLongEnough(known->second, now);
    const auto outcome = decideWithoutRecord(this->versions, service, !attempt.empty(), now);
    if (outcome && (this->mixesRead || watched || outcome->result == OriginResult::Unknown)) {
        done(*outcome);
        return;
    }
    this->origins.find(streamKey(organisation, service, attempt), originBasis(this->versions, service, now), done);
}

bool EntryNode::versionsUnsettled(const ServiceName &service) const
{
    const auto found = this->versions.find(service);
    const std::vector<OriginVm> vms = this->originVms(true);
    const bool othersHeard = std::any_of(vms.begin(), vms.end(), [](const OriginVm &one) { return one.usable; });
    const bool asking = this->versionRounds < versionAskRounds && othersHeard;
    const bool reading
        = !this->mixesRead && this->clock.now() - this->startedAt < versionAskRounds * versionAskInterval;
    return (asking || reading) && found != this->versions.end()
        && !needsOrigins(this->versions, service, this->clock.now())
        && !watchedLongEnough(found->second, this->clock.now());
}

void EntryNode::askVersions()
{
    const TimePoint now = this->clock.now();
    std::vector<OriginVm> vms = this->originVms(true);
    std::erase_if(vms, [](const OriginVm &one) { return !one.usable; });
    std::shuffle(vms.begin(), vms.end(), this->random);
    vms.resize(std::min(vms.size(), versionAsks));
    const bool listRead = isKnown(this->dataPath.fleet().list.position);
    if (listRead && !vms.empty()) {
        this->versionRounds += 1;
        for (const auto &[service, one] : this->versions) {
            const bool settled = watchedLongEnough(one, now) || needsOrigins(this->versions, service, now);
            for (const OriginVm &vm : settled || one.streamLife.count() == 0 ? std::vector<OriginVm>() : vms) {
                this->origins.askOne(vm.vm, versionsKey(service));
            }
        }
    }
    if (this->versionRounds < versionAskRounds) {
        this->after(versionAskInterval, [this] { this->askVersions(); });
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

void EntryNode::receiveVersions(StreamKey key, const wire::OriginAnswer &answer)
{
    for (const auto &[service, one] : this->versions) {
        if (versionsKey(service) != key) {
            continue;
        }
        const bool nothingSeen = !answer.known && answer.softwareVersion.empty() && answer.collectedMilliseconds == 0;
        if (!nothingSeen) { // otherwise that VM has just started too
            const std::optional<std::string> sole
                = answer.known ? std::optional<std::string>(answer.softwareVersion) : std::nullopt;
            recordToldVersions(this->versions, service, sole, milliseconds(answer.collectedMilliseconds),
                               this->clock.now());
        }
        return;
    }
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
