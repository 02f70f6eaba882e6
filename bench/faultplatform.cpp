// Each fake is as plain as its interface allows: the log a vector, the VM list its history, an endpoint a set of
// loaded adapters and a map of runs.

#include "faultplatform.h"

#include <algorithm>

namespace lacewing::faults {

LogOffset FakeLog::oldestKept() const
{
    const std::size_t dropped = this->records.size() > this->kept ? this->records.size() - this->kept : 0;
    return static_cast<LogOffset>(dropped);
}

RecordsRead FakeLog::read(LogOffset from) const
{
    constexpr std::size_t mostRecords = 64;
    RecordsRead read;
    read.oldestKept = this->oldestKept();
    read.end = static_cast<LogOffset>(this->records.size());
    read.firstOffset = std::max(from, read.oldestKept);
    const auto first = std::min(static_cast<std::size_t>(read.firstOffset), this->records.size());
    const std::size_t last = std::min(first + mostRecords, this->records.size());
    read.records.assign(this->records.begin() + static_cast<std::ptrdiff_t>(first),
                        this->records.begin() + static_cast<std::ptrdiff_t>(last));
    return read;
}

LogOffset FakeLog::append(const wire::LogRecord &record)
{
    wire::StoredRecord stored;
    stored.offset = static_cast<LogOffset>(this->records.size());
    stored.record = record;
    this->records.push_back(stored);
    return stored.offset;
}

void FakeVmList::put(TimePoint now, const VmListEntry &entry)
{
    this->drop(now, entry.vm);
    this->versions.back().second.push_back(entry);
}

void FakeVmList::drop(TimePoint now, const VmId &vm)
{
    std::vector<VmListEntry> entries;
    if (!this->versions.empty()) {
        entries = this->versions.back().second;
    }
    std::erase_if(entries, [&vm](const VmListEntry &entry) { return entry.vm == vm; });
    this->versions.emplace_back(now, std::move(entries));
}

VmListRead FakeVmList::read(TimePoint at) const
{
    VmListRead read;
    for (std::size_t index = 0; index < this->versions.size() && this->versions[index].first <= at; ++index) {
        read.stamp = static_cast<std::int64_t>(index) + 1;
        read.entries = this->versions[index].second;
    }
    return read;
}

bool FakeEndpoint::isStale(LogOffset fencing)
{
    if (this->checksFencing && fencing < this->highestFencing) {
        return true;
    }
    this->highestFencing = std::max(this->highestFencing, fencing);
    return false;
}

ResultCode FakeEndpoint::admit(const wire::RequestOffer &offer, LogOffset fencing)
{
    if (this->isStale(fencing)) {
        return ResultCode::StaleFencing;
    }
    if (this->leaving && this->refusesWhenLeaving) {
        return ResultCode::EndpointLeaving;
    }
    const bool model = this->spec.serviceName.empty();
    return model && !this->loaded.contains(toString(offer.adapter)) ? ResultCode::NotResident : ResultCode::Ok;
}

std::int64_t FakeEndpoint::serving(const AdapterVersion &adapter) const
{
    return std::count_if(this->runs.begin(), this->runs.end(),
                         [&adapter](const auto &entry) { return entry.second.offer.adapter == adapter; });
}

ResultCode FakeEndpoint::carryOut(const OrderAdapter &order)
{
    if (this->isStale(order.fencing)) {
        return ResultCode::StaleFencing;
    }
    if (order.kind == OrderKind::Unload) {
        this->loaded.erase(toString(order.adapter));
        return ResultCode::Ok;
    }
    const bool full = this->loaded.size() >= static_cast<std::size_t>(this->spec.adapterSlots);
    if (full && !this->loaded.contains(toString(order.adapter))) {
        return ResultCode::LoadFailed;
    }
    this->loaded.insert(toString(order.adapter));
    return ResultCode::Ok;
}

EndpointReported FakeEndpoint::report() const
{
    EndpointReported report;
    report.endpoint = this->spec.name;
    report.running = static_cast<std::int32_t>(this->runs.size());
    report.incarnation = std::to_string(this->incarnation);
    for (const std::string &name : this->loaded) {
        const std::size_t at = name.rfind('@');
        report.resident.push_back(makeAdapterVersion(name.substr(0, at), std::stoi(name.substr(at + 1))));
    }
    return report;
}

} // namespace lacewing::faults
