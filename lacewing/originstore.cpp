// A record is a datagram with the records of streams and nothing else, so that both have one format.

#include "originstore.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "lacewing_types.h"

namespace lacewing {

Duration originInterval(std::size_t vms)
{
    const auto shared = milliseconds(static_cast<std::int64_t>(vms * 1000 / originCallsPerSecond));
    return std::max(minOriginInterval, Duration {shared});
}

std::string encodeOrigins(const std::map<StreamKey, BegunStream> &streams)
{
    wire::OriginRecords records;
    std::map<std::string_view, std::int16_t> indices;
    for (const auto &[key, stream] : streams) {
        const auto [index, isNew]
            = indices.try_emplace(stream.softwareVersion, static_cast<std::int16_t>(indices.size()));
        if (isNew) {
            records.versionNames.push_back(stream.softwareVersion);
        }
        records.keys.push_back(static_cast<std::int64_t>(key));
        records.versions.push_back(index->second);
        records.lifeMilliseconds.push_back(static_cast<std::int32_t>(toMilliseconds(stream.life)));
    }
    wire::VmDatagram datagram;
    datagram.__set_originRecords(records);
    return encode(datagram);
}

std::optional<wire::OriginRecords> decodeOrigins(std::string_view record)
{
    wire::VmDatagram datagram;
    if (decode(record, datagram) || !datagram.__isset.originRecords) {
        return std::nullopt;
    }
    return std::move(datagram.originRecords);
}

OriginStore::OriginStore(OriginStorePorts storePorts) : ports(std::move(storePorts))
{
}

void OriginStore::add(StreamKey key, std::string_view softwareVersion, Duration life)
{
    if (softwareVersion.size() > maxSoftwareVersionBytes) {
        return; // it would not be remembered either
    }
    if (this->waiting.size() >= maxRememberedStreams && !this->waiting.contains(key)) {
        this->dropped += 1;
        return;
    }
    this->waiting[key] = {std::string(softwareVersion), life};
    this->wake();
}

void OriginStore::wake()
{
    if (!this->awake && !this->appending && !this->waiting.empty()) {
        this->awake = true;
        this->ports.wakeAfter(originInterval(this->ports.vmsInUse()));
    }
}

void OriginStore::flush()
{
    this->awake = false;
    if (this->appending || this->waiting.empty()) {
        return;
    }
    std::map<StreamKey, BegunStream> sent;
    while (sent.size() < maxOriginsInCall && !this->waiting.empty()) {
        sent.insert(this->waiting.extract(this->waiting.begin()));
    }
    this->appending = true;
    std::string record = encodeOrigins(sent);
    this->ports.append(std::move(record), [this, sent](bool done) mutable { this->onAppended(std::move(sent), done); });
}

void OriginStore::onAppended(std::map<StreamKey, BegunStream> sent, bool done)
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
