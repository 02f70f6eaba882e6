// Records of streams on their way to their holders. Each is sent twice, in case a datagram is lost.

#include "originexchange.h"

#include <algorithm>
#include <utility>

#include "clock.h"

namespace lacewing {

namespace {

/// Records of this time go to a holder in one datagram.
constexpr Duration batchTime = milliseconds(10);
/// A record is sent again after this time, in case its datagram is lost.
constexpr Duration repeatDelay = milliseconds(100);
/// Records in a datagram, of some 16 bytes each: with their versions, less than the 1,400 bytes that cross any link.
constexpr std::size_t recordsPerDatagram = 48;
/// Versions in a datagram, of 64 bytes each at most.
constexpr std::size_t versionsPerDatagram = 6;
/// Datagrams with records that are sent at once; a longer burst would overflow the receivers' buffers.
constexpr std::size_t datagramsPerFlush = 32;

} // namespace

void OriginExchange::queue(const VmId &holder, StreamKey key, const std::string &softwareVersion, Duration life)
{
    std::vector<Batch> &queued = this->batches[holder];
    const bool full = queued.empty() || queued.back().records.keys.size() >= recordsPerDatagram
        || (queued.back().indices.size() >= versionsPerDatagram && !queued.back().indices.contains(softwareVersion));
    if (full) {
        queued.emplace_back();
    }
    Batch &batch = queued.back();
    const auto [index, isNew]
        = batch.indices.try_emplace(softwareVersion, static_cast<std::int16_t>(batch.indices.size()));
    if (isNew) {
        batch.records.versionNames.push_back(softwareVersion);
    }
    batch.records.keys.push_back(static_cast<std::int64_t>(key));
    batch.records.versions.push_back(index->second);
    batch.records.lifeMilliseconds.push_back(static_cast<std::int32_t>(toMilliseconds(life)));
    if (!this->flushDue) {
        this->flushDue = this->clock.now() + batchTime;
        this->ports.wakeAfter(batchTime);
    }
}

void OriginExchange::flush()
{
    std::size_t sent = 0;
    while (!this->batches.empty() && sent < datagramsPerFlush) {
        // One of each holder in turn, so that no receiver gets a burst.
        for (auto next = this->batches.begin(); next != this->batches.end() && sent < datagramsPerFlush;) {
            this->ports.sendRecords(next->first, next->second.back().records);
            next->second.pop_back();
            sent += 1;
            next = next->second.empty() ? this->batches.erase(next) : std::next(next);
        }
    }
    this->flushDue.reset();
    if (!this->batches.empty()) {
        this->flushDue = this->clock.now() + batchTime;
        this->ports.wakeAfter(batchTime);
    }
}

void OriginExchange::record(StreamKey key, const std::string &softwareVersion, Duration life)
{
    const TimePoint now = this->clock.now();
    this->recorded += 1;
    rememberOrigin(this->origins, key, softwareVersion, now + life, now);
    this->distribute(key, this->candidates());
}

void OriginExchange::distribute(StreamKey key, const Candidates &vms)
{
    const TimePoint now = this->clock.now();
    const auto found = this->origins.entries.find(key);
    if (found == this->origins.entries.end()) {
        return;
    }
    std::vector<VmId> targets = holdersOf(key, vms);
    for (const VmId &holder : targets) {
        this->queue(holder, key, found->second.softwareVersion, found->second.expires - now);
    }
    if (this->repeats.empty()) {
        this->ports.wakeAfter(repeatDelay);
    }
    this->repeats.push_back({now + repeatDelay, key, std::move(targets)});
}

void OriginExchange::repeatRecords()
{
    const TimePoint now = this->clock.now();
    bool repeated = false;
    while (!this->repeats.empty() && this->repeats.front().due <= now) {
        const Repeat repeat = std::move(this->repeats.front());
        this->repeats.pop_front();
        repeated = true;
        const auto found = this->origins.entries.find(repeat.key); // as it is now, also if it was replaced
        if (found != this->origins.entries.end() && found->second.expires > now) {
            for (const VmId &holder : repeat.targets) {
                this->queue(holder, repeat.key, found->second.softwareVersion, found->second.expires - now);
            }
        }
    }
    if (repeated && !this->repeats.empty()) {
        this->ports.wakeAfter(std::max(batchTime, this->repeats.front().due - now));
    }
}

void OriginExchange::beginStop()
{
    this->stopping = true;
    const TimePoint now = this->clock.now();
    expireOrigins(this->origins, now);
    const Candidates vms = this->candidates();
    for (const auto &[key, origin] : this->origins.entries) {
        this->distribute(key, vms);
    }
}

void OriginExchange::receiveRecords(const wire::OriginRecords &records)
{
    const std::size_t count = records.keys.size();
    if (records.versions.size() != count || records.lifeMilliseconds.size() != count) {
        return;
    }
    const TimePoint now = this->clock.now();
    const Candidates vms = this->stopping ? this->candidates() : Candidates {};
    for (std::size_t index = 0; index < count; ++index) {
        const auto version = static_cast<std::size_t>(records.versions[index]);
        if (records.versions[index] < 0 || version >= records.versionNames.size()) {
            continue;
        }
        const auto key = static_cast<StreamKey>(records.keys[index]);
        const Duration life = std::min(milliseconds(records.lifeMilliseconds[index]), maxOriginLife);
        rememberOrigin(this->origins, key, records.versionNames[version], now + life, now);
        for (const VmId &holder : holdersOf(key, vms)) { // the sender did not know yet that this VM stops
            this->queue(holder, key, records.versionNames[version], life);
        }
    }
}

} // namespace lacewing
