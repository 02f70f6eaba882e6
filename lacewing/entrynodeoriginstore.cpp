// Stores the streams that begin while several software versions serve, at this VM or at others of a zone that it owns,
// and reads those of its zone at the start.

#include "entrynode.h"

#include <algorithm>

#include "eventlog.h"

namespace lacewing {

namespace {

/// A store that does not answer is asked again after this time.
constexpr Duration restoreRetry = milliseconds(500);
/// Resumptions wait for the stored streams for this time at most; later ones are decided without.
constexpr Duration maxRestoreWait = milliseconds(1000);

} // namespace

OriginStorePorts EntryNode::originStorePorts()
{
    OriginStorePorts ports;
    ports.append = [this](std::string record, std::function<void(bool)> done) {
        this->port.storeOrigins(std::move(record), std::move(done));
    };
    ports.send
        = [this](const VmId &vm, const wire::OriginRecords &records) { this->gossip.sendOriginRecords(vm, records); };
    ports.storer = [this] { return this->originStorer(); };
    ports.wakeAfter = [this](Duration delay) { this->after(delay, [this] { this->originStore.flush(); }); };
    ports.vmsInUse = [this] { return this->gossip.vmsInUse(); };
    return ports;
}

std::optional<VmId> EntryNode::originStorer() const
{
    if (this->owner.active()) {
        return this->settings.vm;
    }
    const auto known = this->owners.find(this->settings.zone);
    const bool heard = known != this->owners.end() && this->hasOwner(this->settings.zone);
    return heard && known->second.vm != this->settings.vm ? std::optional(known->second.vm) : std::nullopt;
}

void EntryNode::connectOriginStore()
{
    this->gossip.onOriginRecords = [this](const wire::OriginRecords &records) {
        if (areBegunRecords(records)) {
            this->originStore.receive(records);
        } else {
            this->origins.receiveRecords(records);
        }
    };
    this->dataPath.onStreamBegun = [this](const OrganisationName &organisation, const ServiceName &service,
                                          const std::string &attempt, const std::string &softwareVersion) {
        if (needsOrigins(this->versions, service, this->clock.now())) {
            this->originStore.add(streamKey(organisation, service, attempt), softwareVersion);
        }
    };
}

bool EntryNode::needsStoredOrigins() const
{
    const TimePoint now = this->clock.now();
    return std::any_of(this->versions.begin(), this->versions.end(), [&](const auto &entry) {
        const ServiceVersions &one = entry.second;
        const bool mixed = now < one.toldMixedUntil || mixedFor(one, now).count() > 0;
        return mixed && now - this->startedAt < one.streamLife; // streams from before the start may be resumed
    });
}

bool EntryNode::awaitsStoredOrigins(const ServiceName &service) const
{
    const TimePoint now = this->clock.now();
    if (this->originRestore == OriginRestore::Done || !needsOrigins(this->versions, service, now)) {
        return false;
    }
    if (this->originRestore == OriginRestore::InProgress) {
        return now - this->originRestoreBegun < maxRestoreWait;
    }
    return !this->vmsReadBegun && now - this->startedAt < maxRestoreWait;
}

void EntryNode::restoreOrigins()
{
    if (this->originRestore != OriginRestore::NotBegun || !this->needsStoredOrigins()) {
        return;
    }
    this->originRestore = OriginRestore::InProgress;
    this->originRestoreBegun = this->clock.now();
    this->port.readOrigins(
        [this](const std::optional<std::vector<std::string>> &records) { this->receiveStoredOrigins(records); });
}

void EntryNode::receiveStoredOrigins(const std::optional<std::vector<std::string>> &records)
{
    if (!records && this->needsStoredOrigins()) {
        this->after(restoreRetry, [this] {
            this->port.readOrigins(
                [this](const std::optional<std::vector<std::string>> &again) { this->receiveStoredOrigins(again); });
        });
        return;
    }
    this->originRestore = OriginRestore::Done;
    if (!records) {
        return; // the streams from before the start can't be resumed any more
    }
    Duration life {0};
    for (const auto &[service, one] : this->versions) {
        life = std::max(life, one.streamLife);
    }
    for (const std::string &record : *records) {
        if (auto streams = decodeOrigins(record)) {
            this->originsRestored += static_cast<std::int64_t>(streams->keys.size());
            streams->lifeMilliseconds.assign(streams->keys.size(), static_cast<std::int32_t>(toMilliseconds(life)));
            this->origins.receiveRecords(*streams);
        } else {
            this->countUnreadableRecord();
        }
    }
    logEvent("origins_restored",
             {{"records", std::to_string(records->size())},
              {"streams", std::to_string(this->originsRestored)},
              {"took_ms", inMilliseconds(this->clock.now() - this->originRestoreBegun)}});
}

} // namespace lacewing
