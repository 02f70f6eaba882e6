// The platform's list of endpoints in an entry VM: the zone's owner reads it and passes changes on, the others read it
// seldom while they hear of that.

#include "entrynode.h"

#include <algorithm>
#include <array>

#include "endpointlapse.h"
#include "eventlog.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// Between reads of the platform's list by the VM that passes its changes on, and by any VM that hears of no such
/// read: half of the shortest time in which a leaving endpoint must get nothing new. One reader for each zone takes
/// a tenth of the store calls that 71 readers take.
constexpr Duration readInterval = milliseconds(900);
/// Between reads by the other VMs. What a lost datagram left out is mended sooner: the owner's notices name the change
/// that it has passed on last, and a VM that has not seen it reads by itself.
constexpr Duration mendInterval = milliseconds(30000);
/// A read by the zone's owner counts for the others this long.
constexpr Duration readValidity = milliseconds(1400);
/// A change of the list is passed on again after these delays, in case a datagram is lost.
constexpr std::array<Duration, 2> repeatDelays {milliseconds(100), milliseconds(300)};

std::string_view nameOf(ListNews news)
{
    return news == ListNews::Read ? "read" : "passed_on";
}

} // namespace

void EntryNode::putEndpoint(const EndpointEntry &entry)
{
    this->takeIn(entry, ListNews::Read);
}

void EntryNode::takeIn(const EndpointEntry &entry, ListNews news)
{
    if (isOutdated(this->dataPath.fleet(), entry)) {
        logEvent("entry_outdated", {{"endpoint", entry.id}, {"born", std::to_string(entry.born)}});
        return;
    }
    this->lapsed.erase(entry.id);
    this->noteListed(entry);
    const bool knownToLeave = isLeaving(this->dataPath.fleet(), entry.id, entry.born);
    if (entry.leaving && !knownToLeave) {
        logEvent("endpoint_leaving",
                 {{"endpoint", entry.id}, {"born", std::to_string(entry.born)}, {"news", std::string(nameOf(news))}});
    }
    this->dataPath.changeFleet([this, &entry](Fleet &fleet) {
        const ListedAs listed = lacewing::putEndpoint(fleet, entry, this->clock.now());
        if (listed == ListedAs::Restarted) {
            this->dataPath.dropEndpoint(entry.id);
        }
        if (listed == ListedAs::Restarted || listed == ListedAs::New) {
            logEvent("endpoint_listed",
                     {{"endpoint", entry.id},
                      {"born", std::to_string(entry.born)},
                      {"restarted", listed == ListedAs::Restarted ? "yes" : "no"}});
        }
    });
}

void EntryNode::removeEndpoint(const EndpointName &id)
{
    const TimePoint now = this->clock.now();
    const auto known = this->dataPath.fleet().endpoints.find(id);
    if (known == this->dataPath.fleet().endpoints.end()) {
        return;
    }
    const Duration hold = lapseHold(this->storeFailed, now);
    logEvent("endpoint_unlisted",
             {{"endpoint", id}, {"hold_ms", std::to_string(toMilliseconds(hold))}, {"news", "read"}});
    if (hold.count() > 0 && !known->second.entry.leaving) {
        if (this->lapsed.emplace(id, now).second) {
            this->after(hold, [this, id] {
                if (this->lapsed.erase(id) > 0) {
                    this->dropEndpoint(id);
                    this->passListOn(); // the next read is too late for those who wait for it
                }
            });
        }
        return;
    }
    this->dropEndpoint(id);
}

void EntryNode::noteListed(const EndpointEntry &entry)
{
    const auto known = this->dataPath.fleet().endpoints.find(entry.id);
    if (known != this->dataPath.fleet().endpoints.end() && known->second.entry.leaving == entry.leaving
        && known->second.entry.born == entry.born) {
        return;
    }
    wire::ListedEndpoint listed;
    listed.endpoint = entry.id;
    listed.born = entry.born;
    listed.serviceName = entry.service;
    listed.address = entry.address;
    listed.zone = entry.zone;
    listed.slots = entry.slots;
    listed.leaving = entry.leaving;
    for (const auto &[weights, version] : entry.held) {
        if (!isAdapter(weights)) {
            listed.models.push_back(weights);
        }
    }
    this->listChange.listed.push_back(std::move(listed));
}

void EntryNode::passListOn()
{
    wire::ListChange change = std::exchange(this->listChange, {});
    if (!this->owner.active() || (change.listed.empty() && change.removed.empty())) {
        return;
    }
    change.offset = this->dataPath.fleet().listOffset;
    logEvent("list_passed_on",
             {{"offset", std::to_string(change.offset)},
              {"listed", std::to_string(change.listed.size())},
              {"removed", std::to_string(change.removed.size())}});
    this->changeSeen = change.offset;
    this->gossip.sendListToZone(change);
    for (const Duration delay : repeatDelays) {
        this->after(delay, [this, change] { this->gossip.sendListToZone(change); });
    }
}

void EntryNode::receiveList(const wire::ListChange &change)
{
    this->changeSeen = std::max(this->changeSeen, change.offset);
    if (change.offset <= this->dataPath.fleet().listOffset) {
        return;
    }
    for (const wire::ListedEndpoint &listed : change.listed) {
        EndpointEntry entry;
        entry.id = listed.endpoint;
        entry.born = listed.born;
        entry.service = listed.serviceName;
        entry.address = listed.address;
        entry.zone = listed.zone;
        entry.slots = listed.slots;
        entry.leaving = listed.leaving;
        entry.orders = -1; // what it holds is said better by any other source
        for (const std::string &model : listed.models) {
            entry.held[model] = 1;
        }
        this->takeIn(entry, ListNews::PassedOn);
    }
    for (const EndpointName &id : change.removed) {
        logEvent("endpoint_unlisted", {{"endpoint", id}, {"hold_ms", "0"}, {"news", "passed_on"}});
        this->dropEndpoint(id);
    }
}

void EntryNode::dropEndpoint(const EndpointName &id)
{
    this->listChange.removed.push_back(id);
    this->dataPath.dropEndpoint(id);
    this->dataPath.changeFleet([&id](Fleet &fleet) { lacewing::removeEndpoint(fleet, id); });
}

Duration EntryNode::listInterval() const
{
    if (this->owner.active()) {
        return readInterval;
    }
    const auto found = this->owners.find(this->settings.zone);
    const bool upToDate = std::max(this->changeSeen, this->dataPath.fleet().listOffset) >= this->changePassed;
    const bool covered = found != this->owners.end() && this->clock.now() - found->second.listRead < readValidity;
    return covered && upToDate ? mendInterval : readInterval;
}

void EntryNode::listRead(std::int64_t offset)
{
    this->dataPath.changeFleet([this, offset](Fleet &fleet) {
        fleet.listed = this->clock.now();
        fleet.listCurrent = fleet.listed;
        fleet.listSource.clear();
        fleet.listOffset = offset;
    });
    this->passListOn();
    this->onFleetChanged();
}

} // namespace lacewing
