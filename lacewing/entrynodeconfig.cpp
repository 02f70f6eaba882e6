// Reads of the operators' changes that prove that the configuration is current, and those that the placement owner of
// the zone passes on (configproof.h); configurations that other VMs pass on (configtransfer.h).

#include "entrynode.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"
#include "peereligibility.h"

namespace lacewing {

namespace {

/// A VM that has just started is not ready while it is behind, for at most this time.
constexpr Duration maxStartCatchUp = milliseconds(2000);
/// A VM may have been unable to decode the newest configuration for longer than this: it is then not outdated.
constexpr Duration maxOutdatedTime = milliseconds(10000);

} // namespace

void EntryNode::setConfig(std::shared_ptr<const RouteConfig> config, std::string record, UpdateSource source)
{
    if (!this->dataPath.setConfig(std::move(config), source == UpdateSource::Read ? "read" : "passed_on")) {
        return;
    }
    const auto &inForce = this->dataPath.config();
    this->gossip.configVersion = inForce->version;
    // A record with callers' keys is not kept: only digests of keys are, and those are valid in this process alone.
    this->configTransfer.recordInForce(inForce->version, inForce->requiresKeys ? std::string() : std::move(record));
    if (this->owner.active()) { // VMs of the zone whose reads hang learn of it now and not by the next heartbeat
        this->gossip.sendHeartbeat();
    }
    this->quota.setConfig(inForce);
    setStreamLives(this->versions, *inForce);
    recordConfigInForce(this->dataPath.configProof, inForce->version);
    this->onFleetChanged();
}

void EntryNode::connectConfigTransfer()
{
    this->gossip.onConfigVersion = [this](const VmId &vm, const ZoneName &zone, std::int64_t version) {
        this->configTransfer.recordStated(vm, zone == this->settings.zone, version);
        this->dropProofOfStart();
    };
    this->gossip.onConfigAsk
        = [this](const VmId &vm, std::int64_t known) { this->configTransfer.answerAsk(vm, known); };
    this->dataPath.isConfigOutdated = [this] { return this->isConfigOutdated(); };
    this->dataPath.onConfigRecord
        = [this](const VmId &vm, const std::string &record) { this->configTransfer.receive(vm, record); };
}

ConfigTransferPorts EntryNode::configTransferPorts()
{
    ConfigTransferPorts ports;
    ports.versionInForce = [this] {
        const auto &config = this->dataPath.config();
        return config ? config->version : 0;
    };
    ports.contactOf = [this](const VmId &vm) -> std::optional<VmContact> {
        const auto known = this->gossip.vms().find(vm);
        const auto contact = this->contacts.find(vm);
        const bool found = known != this->gossip.vms().end() && contact != this->contacts.end();
        if (!found || !isAtAnnouncedAddress(known->second, contact->second, this->clock.now())) {
            return std::nullopt;
        }
        return contact->second;
    };
    ports.isReceiving = [this] { return this->dataPath.isReceivingFromVm(); };
    ports.onContactUnknown = [this] { this->refreshContacts(); };
    ports.sendAsk = [this](const VmId &vm, std::int64_t known) { this->gossip.sendConfigAsk(vm, known); };
    ports.onRecord = [this](const std::string &record) { return this->onConfigRecord && this->onConfigRecord(record); };
    return ports;
}

void EntryNode::dropProofOfStart()
{
    // What this VM read at its start may have been the older state of a store that has just come back from a copy, and
    // a key that the newer configuration takes away would be used until the proof is too old.
    const bool started
        = this->settings.revocationBound && this->clock.now() - this->startedAt < *this->settings.revocationBound;
    if (started && this->isConfigOutdated()) {
        this->dataPath.configProof.provenAt.reset();
    }
}

bool EntryNode::isConfigOutdated() const
{
    const std::optional<Duration> behind = this->configTransfer.behind();
    return behind && *behind < maxOutdatedTime;
}

bool EntryNode::isCatchingUpAtStart() const
{
    return this->configTransfer.behind() && this->clock.now() - this->startedAt < maxStartCatchUp;
}

void EntryNode::configRead(const StorePosition &end, TimePoint begun)
{
    this->operatorChangesRead = true;
    this->gossip.configPosition = end;
    if (this->isConfigOutdated()) { // the store has lost the newer configuration, which another VM has in force
        return;
    }
    const std::optional<Duration> ageBefore = keyProofAge(this->dataPath.configProof, this->clock.now());
    recordConfigRead(this->dataPath.configProof, end, begun);
    this->logConfigProof("read", ageBefore);
    this->dataPath.reachStartStep("config_proven");
    this->passOnConfigRead(begun);
}

Duration EntryNode::changesBound() const
{
    const auto &config = this->dataPath.config();
    const bool showsKeys = this->settings.revocationBound && config && config->requiresKeys;
    return showsKeys ? *this->settings.revocationBound : this->settings.versionBound;
}

void EntryNode::checkConfigProof()
{
    if (!this->dataPath.config() || !this->onConfigCheck) {
        return;
    }
    const TimePoint now = this->clock.now();
    const ConfigReader reader {this->owner.active(), this->configCheckBegun};
    if (!shouldReadConfig(this->dataPath.configProof, reader, this->changesBound(), now)) {
        return;
    }
    this->configCheckBegun = now;
    this->receivedAtConfigCheck = this->gossip.receivedNumbers();
    this->onConfigCheck();
}

bool EntryNode::needsKeyProof() const
{
    const auto &config = this->dataPath.config();
    return config && config->requiresKeys && this->settings.revocationBound;
}

bool EntryNode::areKeysProven() const
{
    const std::optional<Duration> age = keyProofAge(this->dataPath.configProof, this->clock.now());
    return !this->needsKeyProof() || decideKey(true, age, this->settings.revocationBound) == KeyDecision::Accepted;
}

bool EntryNode::awaitsKeyProof() const
{
    const bool othersMayTell = this->history.isAsking() && !this->history.isAnswered();
    return this->needsKeyProof()
        && lacewing::awaitsKeyProof(this->dataPath.configProof, othersMayTell, *this->settings.revocationBound,
                                    this->clock.now());
}

void EntryNode::logConfigProof(std::string_view source, std::optional<Duration> ageBefore) const
{
    const std::optional<Duration> age = keyProofAge(this->dataPath.configProof, this->clock.now());
    const bool wasProven = ageBefore && *ageBefore < this->changesBound();
    if (wasProven || !age || *age >= this->changesBound()) {
        return; // only a change is logged
    }
    logEvent("config_proven",
             {{"source", std::string(source)},
              {"version", std::to_string(this->gossip.configVersion)},
              {"age_ms", inMilliseconds(*age)},
              {"era", std::to_string(this->dataPath.configProof.applied.era)},
              {"since_start_ms", inMilliseconds(this->clock.now() - this->startedAt)}});
}

void EntryNode::passOnConfigRead(TimePoint begun)
{
    // Other reads, such as one that has waited for news, may have begun before those datagrams were received.
    const bool covers = this->configCheckBegun && begun >= *this->configCheckBegun;
    if (!covers || !this->owner.active() || this->receivedAtConfigCheck.numbers.empty()) {
        return;
    }
    wire::ConfigRead read = std::exchange(this->receivedAtConfigCheck, {});
    const StorePosition &applied = this->dataPath.configProof.applied;
    read.offset = applied.offset;
    if (applied.era != unnamedEra) {
        read.__set_era(applied.era);
    }
    this->gossip.sendConfigRead(read);
}

void EntryNode::receiveConfigRead(const wire::ConfigRead &read)
{
    if (this->isConfigOutdated()) { // as for own reads
        return;
    }
    const std::size_t count = std::min(read.incarnations.size(), read.numbers.size());
    for (std::size_t index = 0; index < count; ++index) {
        if (read.incarnations[index] == this->gossip.ownIncarnation()) {
            const StorePosition end {read.__isset.era ? read.era : unnamedEra, read.offset};
            const std::optional<Duration> ageBefore = keyProofAge(this->dataPath.configProof, this->clock.now());
            recordPassedOnRead(this->dataPath.configProof, end, read.numbers[index]);
            this->logConfigProof("passed_on", ageBefore);
            this->dataPath.reachStartStep("config_proven");
        }
    }
}

} // namespace lacewing
