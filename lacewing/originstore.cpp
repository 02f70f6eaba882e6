// A record in the store is a datagram with the streams and nothing else, so that both have one format.

#include "originstore.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "lacewing_types.h"

namespace lacewing {

namespace {

/// Takes some streams out of those that wait.
BegunStreams takeFirst(BegunStreams &waiting, std::size_t most)
{
    BegunStreams taken;
    while (taken.size() < most && !waiting.empty()) {
        taken.insert(waiting.extract(waiting.begin()));
    }
    return taken;
}

} // namespace

Duration originInterval(std::size_t vms, bool storesForOthers)
{
    if (storesForOthers) {
        return minOriginInterval;
    }
    const auto shared = milliseconds(static_cast<std::int64_t>(vms * 1000 / originCallsPerSecond));
    return std::max(minOriginInterval, Duration {shared});
}

wire::OriginRecords makeBegunRecords(const BegunStreams &streams)
{
    wire::OriginRecords records;
    std::map<std::string_view, std::int16_t> indices;
    for (const auto &[key, softwareVersion] : streams) {
        const auto [index, isNew] = indices.try_emplace(softwareVersion, static_cast<std::int16_t>(indices.size()));
        if (isNew) {
            records.versionNames.push_back(softwareVersion);
        }
        records.keys.push_back(static_cast<std::int64_t>(key));
        records.versions.push_back(index->second);
    }
    return records;
}

bool areBegunRecords(const wire::OriginRecords &records)
{
    return !records.keys.empty() && records.versions.size() == records.keys.size() && records.lifeMilliseconds.empty();
}

std::string encodeOrigins(const BegunStreams &streams)
{
    wire::VmDatagram datagram;
    datagram.__set_originRecords(makeBegunRecords(streams));
    return encode(datagram);
}

std::optional<wire::OriginRecords> decodeOrigins(std::string_view record)
{
    wire::VmDatagram datagram;
    if (decode(record, datagram) || !datagram.__isset.originRecords || !areBegunRecords(datagram.originRecords)) {
        return std::nullopt;
    }
    return std::move(datagram.originRecords);
}

OriginStore::OriginStore(VmId vmName, OriginStorePorts storePorts) : vm(std::move(vmName)), ports(std::move(storePorts))
{
}

void OriginStore::add(StreamKey key, std::string_view softwareVersion)
{
    if (softwareVersion.size() > maxSoftwareVersionBytes) {
        return; // it would not be remembered either
    }
    if (this->waiting.size() >= maxRememberedStreams && !this->waiting.contains(key)) {
        this->dropped += 1;
        return;
    }
    this->waiting[key] = softwareVersion;
    this->wake();
}

void OriginStore::receive(const wire::OriginRecords &records)
{
    if (!areBegunRecords(records)) {
        return;
    }
    for (std::size_t index = 0; index < records.keys.size(); ++index) {
        const std::int16_t version = records.versions[index];
        if (version >= 0 && static_cast<std::size_t>(version) < records.versionNames.size()) {
            this->add(static_cast<StreamKey>(records.keys[index]),
                      records.versionNames[static_cast<std::size_t>(version)]);
        }
    }
}

bool OriginStore::storesItself() const
{
    const std::optional<VmId> storer = this->ports.storer();
    return !storer || *storer == this->vm;
}

void OriginStore::wake()
{
    if (this->awake || this->appending || this->waiting.empty()) {
        return;
    }
    this->awake = true;
    const bool own = this->storesItself();
    this->ports.wakeAfter(own ? originInterval(this->ports.vmsInUse(), this->ports.storer().has_value())
                              : originSendInterval);
}

void OriginStore::sendTo(const VmId &storer)
{
    while (!this->waiting.empty()) {
        this->ports.send(storer, makeBegunRecords(takeFirst(this->waiting, maxOriginsInDatagram)));
    }
}

void OriginStore::flush()
{
    this->awake = false;
    if (this->appending || this->waiting.empty()) {
        return;
    }
    if (!this->storesItself()) {
        this->sendTo(*this->ports.storer());
        return;
    }
    BegunStreams sent = takeFirst(this->waiting, maxOriginsInCall);
    this->appending = true;
    std::string record = encodeOrigins(sent);
    this->ports.append(std::move(record), [this, sent = std::move(sent)](bool done) { this->onAppended(sent, done); });
}

void OriginStore::onAppended(BegunStreams sent, bool done)
{
    this->appending = false;
    if (done) {
        this->stored += static_cast<std::int64_t>(sent.size());
    } else {
        this->waiting.merge(sent);
    }
    this->wake();
}

} // namespace lacewing
