// What this VM concludes about a time that it has not watched, and whom it asks: other VMs first, then the store.
//
// docs/design/unwatched.md has the table of these conclusions.

#include "entrynode.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"

namespace lacewing {

namespace {

/// An endpoint that two reads of the list have both missed was listed for less than the time between them: it is
/// announced as leaving for 2 s at least, or its entry expires after some seconds.
constexpr Duration longestListGap = milliseconds(2000);
/// A read that must not begin before the store is complete begins this much later.
constexpr Duration completeStoreMargin = milliseconds(50);
/// A read of what the VMs have stored takes some milliseconds; a caller gives up on a stream that pauses for seconds.
constexpr Duration maxStoredRead = milliseconds(1000);
/// Services that a VM tells of in one datagram.
constexpr std::size_t maxStatedServices = 64;

std::string describe(const std::vector<wire::StatedVersions> &versions)
{
    std::string text;
    for (const wire::StatedVersions &one : versions) {
        const bool mixed = !one.__isset.sole;
        text += (text.empty() ? "" : ",") + one.serviceName + (mixed ? ":mixed:" : ":" + one.sole + ":")
            + std::to_string(mixed ? one.mixedMilliseconds : one.watchedMilliseconds);
    }
    return text;
}

} // namespace

HistoryPorts EntryNode::historyPorts()
{
    HistoryPorts ports;
    // What others tell of the versions is compared with those that are listed.
    ports.zoneVms = [this] { return this->isListRead() ? this->originVms(true) : std::vector<OriginVm>(); };
    ports.otherZonesVms = [this] { return this->isListRead() ? this->originVms(false) : std::vector<OriginVm>(); };
    ports.ask = [this](const VmId &vm, const wire::HistoryAsk &ask) { this->gossip.sendHistoryAsk(vm, ask); };
    ports.answer
        = [this](const VmId &vm, const wire::HistoryAnswer &answer) { this->gossip.sendHistoryAnswer(vm, answer); };
    ports.describe = [this] { return this->describeHistory(); };
    ports.learn = [this](const VmId &vm, const wire::HistoryAnswer &answer, TimePoint asked) {
        this->learnHistory(vm, answer, asked);
    };
    ports.isSettled = [this] { return this->isHistorySettled(); };
    ports.wakeAfter = [this](Duration delay) { this->after(delay, [this] { this->history.expire(); }); };
    return ports;
}

void EntryNode::connectHistory()
{
    this->gossip.onHistoryAsk
        = [this](const VmId &vm, const wire::HistoryAsk &ask) { this->history.receiveAsk(vm, ask); };
    this->gossip.onHistoryAnswer
        = [this](const VmId &vm, const wire::HistoryAnswer &answer) { this->history.receiveAnswer(vm, answer); };
}

wire::HistoryAnswer EntryNode::describeHistory()
{
    this->checkForStall(); // the ask may have come while this VM stood still
    const TimePoint now = this->clock.now();
    const ConfigProof &proof = this->dataPath.configProof;
    wire::HistoryAnswer answer;
    answer.era = proof.store.era;
    answer.eraMilliseconds = toMilliseconds(eraAge(proof.store, now));
    answer.configVersion = this->gossip.configVersion;
    if (const std::optional<Duration> age = keyProofAge(proof, now)) {
        answer.__set_proofMilliseconds(toMilliseconds(*age) + 1); // rounded up
    }
    for (const auto &[service, one] : this->versions) {
        const bool listCurrent = this->unwatchedListTime(now) <= longestListGap;
        const auto stated
            = one.streamLife.count() > 0 ? stateVersions(this->versions, service, listCurrent, now) : std::nullopt;
        if (!stated || answer.versions.size() >= maxStatedServices) {
            continue;
        }
        wire::StatedVersions versionsOf;
        versionsOf.serviceName = service;
        if (stated->sole) {
            versionsOf.__set_sole(*stated->sole);
        }
        versionsOf.watchedMilliseconds = toMilliseconds(stated->watched);
        versionsOf.mixedMilliseconds = toMilliseconds(stated->mixedLeft);
        answer.versions.push_back(std::move(versionsOf));
    }
    return answer;
}

void EntryNode::learnHistory(const VmId &vm, const wire::HistoryAnswer &answer, TimePoint asked)
{
    const bool proven = answer.__isset.proofMilliseconds;
    logEvent("history_told",
             {{"vm", vm},
              {"era", std::to_string(answer.era)},
              {"era_ms", std::to_string(answer.eraMilliseconds)},
              {"config_version", std::to_string(answer.configVersion)},
              {"proof_ms", proven ? std::to_string(answer.proofMilliseconds) : "none"},
              {"versions", describe(answer.versions)}});
    const TimePoint now = this->clock.now();
    this->learnStore(vm, answer, asked);
    for (const wire::StatedVersions &one : answer.versions) {
        if (one.__isset.sole) {
            recordToldVersions(this->versions, one.serviceName, one.sole, milliseconds(one.watchedMilliseconds), now);
        } else {
            recordToldMix(this->versions, one.serviceName, milliseconds(one.mixedMilliseconds), now);
        }
    }
    this->retryOriginQueries();
}

void EntryNode::learnStore(const VmId &vm, const wire::HistoryAnswer &answer, TimePoint asked)
{
    ConfigProof &proof = this->dataPath.configProof;
    const TimePoint now = this->clock.now();
    const std::optional<Duration> ageBefore = keyProofAge(proof, now);
    const auto known = this->gossip.vms().find(vm);
    const bool inOwnZone = known != this->gossip.vms().end() && known->second.zone == this->settings.zone;
    this->configTransfer.recordStated(vm, inOwnZone, answer.configVersion);
    this->dropProofOfStart();
    if (this->isConfigOutdated()) {
        proof.incompleteRead.reset(); // what was read lacks a change
    }
    recordToldEra(proof, answer.era, milliseconds(answer.eraMilliseconds), now);
    if (answer.__isset.proofMilliseconds) {
        // The statement was made after the ask, so the proof is no older than this.
        const TimePoint provenAt = asked - milliseconds(answer.proofMilliseconds);
        recordToldProof(proof, {answer.configVersion, provenAt}, this->gossip.configVersion);
    }
    this->logConfigProof("told", ageBefore);
}

void EntryNode::awaitCompleteStore()
{
    this->after(rewriteTime + completeStoreMargin, [this] {
        if (this->vmsReadBegun && !isComplete(this->dataPath.configProof.store, *this->vmsReadBegun)) {
            this->refreshVms();
        }
    });
}

bool EntryNode::isListRead() const
{
    return isKnown(this->dataPath.fleet().list.position);
}

bool EntryNode::isHistorySettled() const
{
    const TimePoint now = this->clock.now();
    return this->isListRead() && this->dataPath.config() && this->areKeysProven()
        && std::all_of(this->versions.begin(), this->versions.end(), [&](const auto &entry) {
               const ServiceVersions &one = entry.second;
               return one.streamLife.count() == 0 || watchedLongEnough(one, now) || areSeveralKnown(one, now);
           });
}

void EntryNode::beginHistory(std::string_view reason)
{
    logEvent("history_asked",
             {{"reason", std::string(reason)},
              {"list_age_ms", inMilliseconds(this->clock.now() - this->dataPath.fleet().list.current)}});
    this->history.begin();
}

Duration EntryNode::unwatchedListTime(TimePoint read) const
{
    // What was missed before the watch began again is asked for.
    return read - std::max(this->dataPath.fleet().list.current, this->versionWatchBegun);
}

void EntryNode::noteListGap(TimePoint read)
{
    if (this->isListRead() && this->unwatchedListTime(read) > longestListGap) {
        this->restartVersionWatch("list_gap");
    }
}

void EntryNode::restartVersionWatch(std::string_view reason)
{
    const TimePoint now = this->clock.now();
    restartWatch(this->versions, this->dataPath.fleet().list.current, now);
    this->versionWatchBegun = now;
    this->refreshVms(); // also reads what the VMs have stored of the versions
    this->beginHistory(reason);
}

VersionsKnown EntryNode::versionsKnown(const ServiceName &service) const
{
    const TimePoint now = this->clock.now();
    const auto found = this->versions.find(service);
    VersionsEvidence evidence;
    evidence.severalSeen = needsOrigins(this->versions, service, now);
    evidence.watched = found != this->versions.end() && watchedLongEnough(found->second, now);
    evidence.mayBeTold = this->history.isAsking();
    const StoreHistory &store = this->dataPath.configProof.store;
    evidence.stored = this->vmsReadBegun && *this->vmsReadBegun >= this->versionWatchBegun
        && isComplete(store, *this->vmsReadBegun);
    evidence.mayBeRead = !evidence.stored && isComplete(store, now) && now - this->versionWatchBegun < maxStoredRead;
    return decideVersionsKnown(evidence);
}

} // namespace lacewing
