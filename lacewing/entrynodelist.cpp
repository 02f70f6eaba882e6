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

/// A change of the list is passed on again after these delays, in case a datagram is lost.
constexpr std::array<Duration, 2> repeatDelays {milliseconds(100), milliseconds(300)};

std::string_view nameOf(ListNews news)
{
    return news == ListNews::Read ? "read" : "passed_on";
}

EndpointEntry entryOf(const wire::ListedEndpoint &listed)
{
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
    return entry;
}

wire::ListedEndpoint listedOf(const EndpointEntry &entry)
{
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
    return listed;
}

} // namespace

bool EntryNode::isSuperseded(std::int64_t offset) const
{
    // A read that is answered late brings changes from before what the zone's owner has told meanwhile. They are part
    // of this VM's copy already, or were undone by a later change that is.
    return offset != noOffset && offset < this->dataPath.fleet().list.offset;
}

void EntryNode::putEndpoint(const EndpointEntry &entry, std::int64_t offset)
{
    if (this->isSuperseded(offset)) {
        return;
    }
    this->noteListed(entry);
    this->takeIn(entry, ListNews::Read);
}

void EntryNode::takeIn(const EndpointEntry &entry, ListNews news)
{
    if (isOutdated(this->dataPath.fleet(), entry)) {
        logEvent("entry_outdated", {{"endpoint", entry.id}, {"born", std::to_string(entry.born)}});
        return;
    }
    this->lapsed.erase(entry.id);
    this->dataPath.crashWatch().noteListed(entry);
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

void EntryNode::removeEndpoint(const EndpointName &id, std::int64_t offset)
{
    if (this->isSuperseded(offset)) {
        return;
    }
    // Passed on also if it was not known here: another VM may have read it while it was listed.
    this->listChange.removed.push_back(id);
    this->takeOff(id, ListNews::Read);
}

void EntryNode::dropUnusable(const EndpointName &id, std::int64_t offset)
{
    if (!this->isSuperseded(offset) && this->dataPath.fleet().endpoints.contains(id)) {
        this->removeEndpoint(id);
    }
}

void EntryNode::takeOff(const EndpointName &id, ListNews news)
{
    const TimePoint now = this->clock.now();
    const auto known = this->dataPath.fleet().endpoints.find(id);
    if (known == this->dataPath.fleet().endpoints.end()) {
        return;
    }
    const Duration hold = lapseHold(this->storeFailed, now);
    logEvent(
        "endpoint_unlisted",
        {{"endpoint", id}, {"hold_ms", std::to_string(toMilliseconds(hold))}, {"news", std::string(nameOf(news))}});
    if (hold.count() == 0 || known->second.entry.leaving) {
        this->dropEndpoint(id);
    } else if (this->lapsed.emplace(id, now).second) {
        this->after(hold, [this, id] {
            if (this->lapsed.erase(id) > 0) {
                this->dropEndpoint(id);
            }
        });
    }
}

void EntryNode::noteListed(const EndpointEntry &entry)
{
    const Fleet &fleet = this->dataPath.fleet();
    const bool same
        = isIncarnation(fleet, entry.id, entry.born) && fleet.endpoints.at(entry.id).entry.leaving == entry.leaving;
    // Of one that is kept only until it is known to be gone, the others were told that it was taken off.
    if ((same && !this->lapsed.contains(entry.id)) || isOutdated(fleet, entry)) {
        return;
    }
    this->listChange.listed.push_back(listedOf(entry));
}

void EntryNode::passListOn()
{
    wire::ListChange change = std::exchange(this->listChange, {});
    if (!this->owner.active()) {
        return;
    }
    const bool changed = !change.listed.empty() || !change.removed.empty();
    const ListStatement statement = nextStatement(this->listChain, this->dataPath.fleet().list, changed);
    change.previous = statement.previous;
    change.offset = statement.offset;
    this->sendList(change, statement);
    if (!changed) {
        return; // that nothing has changed is said again by the notices
    }
    logEvent("list_passed_on",
             {{"previous", std::to_string(change.previous)},
              {"offset", std::to_string(change.offset)},
              {"listed", std::to_string(change.listed.size())},
              {"removed", std::to_string(change.removed.size())}});
    for (const Duration delay : repeatDelays) {
        this->after(delay, [this, change, statement] { this->sendList(change, statement); });
    }
}

void EntryNode::sendList(wire::ListChange change, const ListStatement &statement)
{
    change.ageMilliseconds = toMilliseconds(this->clock.now() - statement.read); // a repeat is older than the first
    this->gossip.sendListToZone(change);
}

void EntryNode::receiveList(const VmId &vm, const wire::ListChange &change, Duration heldUp)
{
    const ListKnowledge &known = this->dataPath.fleet().list;
    ListStatement statement;
    statement.previous = change.previous;
    statement.offset = change.offset;
    statement.read = this->clock.now() - milliseconds(change.ageMilliseconds) - heldUp;
    // What follows a change that was missed is left out: this VM's copy is the list at an offset, and never a mixture
    // of two, so that it can be passed on should this VM become the owner.
    if (change.offset > known.offset && follows(known, statement)) {
        this->takeInChange(change);
    }
    this->noteOwnersRead(vm, statement);
}

void EntryNode::takeInChange(const wire::ListChange &change)
{
    for (const wire::ListedEndpoint &listed : change.listed) {
        this->takeIn(entryOf(listed), ListNews::PassedOn);
    }
    for (const EndpointName &id : change.removed) {
        this->takeOff(id, ListNews::PassedOn);
    }
}

void EntryNode::receiveListAge(const VmId &vm, const wire::PlacementNotice &notice, Duration heldUp)
{
    if (notice.listAgeMilliseconds < 0) {
        return; // news of adapters, which say nothing of the list
    }
    ListStatement statement;
    statement.previous = notice.listOffset < 0 ? noOffset : notice.listChange;
    statement.offset = notice.listOffset < 0 ? notice.listChange : notice.listOffset;
    statement.read = this->clock.now() - milliseconds(notice.listAgeMilliseconds) - heldUp;
    this->noteOwnersRead(vm, statement);
}

void EntryNode::noteOwnersRead(const VmId &vm, const ListStatement &statement)
{
    const std::int64_t before = this->dataPath.fleet().list.offset;
    this->dataPath.changeFleet([&](Fleet &fleet) { noteStatement(fleet.list, statement, vm); });
    noteToldByOther(this->listChain, before, this->dataPath.fleet().list);
}

void EntryNode::dropEndpoint(const EndpointName &id)
{
    this->dataPath.dropEndpoint(id);
    this->dataPath.changeFleet([&id](Fleet &fleet) { lacewing::removeEndpoint(fleet, id); });
}

Duration EntryNode::listInterval() const
{
    const bool covered = !this->owner.active() && isCovered(this->dataPath.fleet().list, this->clock.now());
    return covered ? coveredReadInterval : readInterval;
}

void EntryNode::listRead(const ListRead &read)
{
    const TimePoint asked = this->clock.now() - read.age;
    this->dataPath.changeFleet([&read, asked](Fleet &fleet) { noteOwnRead(fleet.list, read.offset, asked); });
    if (read.afresh) {
        breakChain(this->listChain);
    }
    this->passListOn();
    this->onFleetChanged();
}

} // namespace lacewing
