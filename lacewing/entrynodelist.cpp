// The platform's list of endpoints: the owner of a zone reads it often and forwards changes to the VMs of its zone,
// which read the list themselves only seldom while they receive the owner's changes.

#include "entrynode.h"

#include <algorithm>
#include <array>

#include "entryexpiry.h"
#include "eventlog.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// A change of the list is sent again after these delays, in case a datagram is lost.
constexpr std::array<Duration, 2> repeatDelays {milliseconds(100), milliseconds(300)};

std::string_view nameOf(UpdateSource source)
{
    return source == UpdateSource::Read ? "read" : "passed_on";
}

std::int64_t eraOf(const wire::ListChange &change)
{
    return change.__isset.era ? change.era : unnamedEra;
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
    entry.softwareVersion = listed.softwareVersion;
    entry.orders = -1; // any other source of the held weights is more recent
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
    if (!entry.softwareVersion.empty()) {
        listed.__set_softwareVersion(entry.softwareVersion);
    }
    for (const auto &[weights, version] : entry.held) {
        if (!isAdapter(weights)) {
            listed.models.push_back(weights);
        }
    }
    return listed;
}

} // namespace

bool EntryNode::isSuperseded(const StorePosition &position) const
{
    // The late answer to a read can contain changes that are older than those received from the owner in the meantime.
    // This VM's copy already contains them, or a later change that overrides them.
    return isKnown(position) && position < this->dataPath.fleet().list.position;
}

void EntryNode::putEndpoint(const EndpointEntry &entry, const StorePosition &position)
{
    if (this->isSuperseded(position)) {
        return;
    }
    this->queueListed(entry);
    this->applyListed(entry, UpdateSource::Read);
}

void EntryNode::applyListed(const EndpointEntry &entry, UpdateSource source)
{
    if (isOutdated(this->dataPath.fleet(), entry)) {
        logEvent("entry_outdated", {{"endpoint", entry.id}, {"born", std::to_string(entry.born)}});
        return;
    }
    this->pendingRemovals.erase(entry.id);
    this->dataPath.crashWatch().recordListedEntry(entry);
    const bool knownToLeave = isLeaving(this->dataPath.fleet(), entry.id, entry.born);
    if (entry.leaving && !knownToLeave) {
        logEvent("endpoint_leaving",
                 {{"endpoint", entry.id}, {"born", std::to_string(entry.born)}, {"news", std::string(nameOf(source))}});
    }
    this->dataPath.changeFleet([this, &entry](Fleet &fleet) {
        const ListedVersion before = this->listedVersion(entry.id);
        const ListedAs listed = lacewing::putEndpoint(fleet, entry, this->clock.now());
        this->recordVersionChange(entry.id, before); // before a waiting request is sent there
        if (listed == ListedAs::Restarted) {
            this->dataPath.dropEndpoint(entry.id);
        }
        if (listed == ListedAs::Restarted || listed == ListedAs::New) {
            this->dataPath.recordEndpointStart(entry.id);
            logEvent("endpoint_listed",
                     {{"endpoint", entry.id},
                      {"born", std::to_string(entry.born)},
                      {"restarted", listed == ListedAs::Restarted ? "yes" : "no"}});
        }
    });
}

void EntryNode::removeEndpoint(const EndpointName &id, const StorePosition &position)
{
    if (this->isSuperseded(position)) {
        return;
    }
    // Forwarded even if this VM did not know the endpoint: another VM may have read it while it was listed.
    this->pendingListChange.removed.push_back(id);
    this->applyRemoval(id, UpdateSource::Read);
}

void EntryNode::dropUnusable(const EndpointName &id, const StorePosition &position)
{
    if (!this->isSuperseded(position) && this->dataPath.fleet().endpoints.contains(id)) {
        this->removeEndpoint(id);
    }
}

void EntryNode::applyRemoval(const EndpointName &id, UpdateSource source)
{
    const TimePoint now = this->clock.now();
    const auto known = this->dataPath.fleet().endpoints.find(id);
    if (known == this->dataPath.fleet().endpoints.end()) {
        return;
    }
    const Duration hold = expiredEntryHold(this->lastStoreFailure, now);
    logEvent(
        "endpoint_unlisted",
        {{"endpoint", id}, {"hold_ms", std::to_string(toMilliseconds(hold))}, {"news", std::string(nameOf(source))}});
    if (hold.count() == 0 || known->second.entry.leaving) {
        this->dropEndpoint(id);
    } else if (this->pendingRemovals.emplace(id, now).second) {
        this->after(hold, [this, id] {
            if (this->pendingRemovals.erase(id) > 0) {
                this->dropEndpoint(id);
            }
        });
    }
}

void EntryNode::queueListed(const EndpointEntry &entry)
{
    const Fleet &fleet = this->dataPath.fleet();
    const bool same
        = isIncarnation(fleet, entry.id, entry.born) && fleet.endpoints.at(entry.id).entry.leaving == entry.leaving;
    // If the removal of the endpoint is pending here, the other VMs already received the removal, so they need the
    // entry again.
    if ((same && !this->pendingRemovals.contains(entry.id)) || isOutdated(fleet, entry)) {
        return;
    }
    this->pendingListChange.listed.push_back(listedOf(entry));
}

void EntryNode::forwardListChange()
{
    wire::ListChange change = std::exchange(this->pendingListChange, {});
    if (!this->owner.active()) {
        return;
    }
    const bool changed = !change.listed.empty() || !change.removed.empty();
    const ListAnnouncement statement = nextAnnouncement(this->listChain, this->dataPath.fleet().list, changed);
    change.previous = statement.previous.offset;
    change.offset = statement.end.offset;
    if (statement.end.era != unnamedEra) {
        change.__set_era(statement.end.era);
    }
    this->sendList(change, statement);
    if (!changed) {
        return; // the notices repeat that nothing has changed
    }
    logEvent("list_passed_on",
             {{"era", std::to_string(statement.end.era)},
              {"previous", std::to_string(change.previous)},
              {"offset", std::to_string(change.offset)},
              {"listed", std::to_string(change.listed.size())},
              {"removed", std::to_string(change.removed.size())}});
    for (const Duration delay : repeatDelays) {
        this->after(delay, [this, change, statement] { this->sendList(change, statement); });
    }
}

void EntryNode::sendList(wire::ListChange change, const ListAnnouncement &statement)
{
    change.ageMilliseconds
        = toMilliseconds(this->clock.now() - statement.read); // the read is older by the time of a repeat
    this->gossip.sendListToZone(change);
}

void EntryNode::receiveList(const VmId &vm, const wire::ListChange &change, Duration heldUp)
{
    const ListFreshness &known = this->dataPath.fleet().list;
    ListAnnouncement statement;
    statement.previous = {eraOf(change), change.previous};
    statement.end = {eraOf(change), change.offset};
    statement.read = this->clock.now() - milliseconds(change.ageMilliseconds) - heldUp;
    // A change that follows a missed one is not applied: this VM's copy is the list at one offset and never a mixture
    // of two, so that this VM can forward it if it becomes the owner.
    if (statement.end > known.position && follows(known, statement)) {
        this->applyListChange(change);
    } else if (!follows(known, statement)) { // not a mere repeat
        this->listChangesIgnored += 1;
        logEvent("list_change_ignored",
                 {{"vm", vm},
                  {"era", std::to_string(statement.end.era)},
                  {"previous", std::to_string(statement.previous.offset)},
                  {"offset", std::to_string(statement.end.offset)},
                  {"known_era", std::to_string(known.position.era)},
                  {"known_offset", std::to_string(known.position.offset)}});
    }
    this->recordOwnersRead(vm, statement);
}

void EntryNode::applyListChange(const wire::ListChange &change)
{
    for (const wire::ListedEndpoint &listed : change.listed) {
        this->applyListed(entryOf(listed), UpdateSource::PassedOn);
    }
    for (const EndpointName &id : change.removed) {
        this->applyRemoval(id, UpdateSource::PassedOn);
    }
}

void EntryNode::receiveListAge(const VmId &vm, const wire::PlacementNotice &notice, Duration heldUp)
{
    if (notice.listAgeMilliseconds < 0) {
        return; // an update about adapters, which does not refer to the list
    }
    ListAnnouncement statement;
    const std::int64_t era = notice.__isset.listEra ? notice.listEra : unnamedEra;
    statement.previous = {era, notice.listOffset < 0 ? noOffset : notice.listChange};
    statement.end = {era, notice.listOffset < 0 ? notice.listChange : notice.listOffset};
    statement.read = this->clock.now() - milliseconds(notice.listAgeMilliseconds) - heldUp;
    this->recordOwnersRead(vm, statement);
}

void EntryNode::recordOwnersRead(const VmId &vm, const ListAnnouncement &statement)
{
    if (follows(this->dataPath.fleet().list, statement)) {
        this->noteListGap(statement.read);
    }
    const StorePosition before = this->dataPath.fleet().list.position;
    this->dataPath.changeFleet([&](Fleet &fleet) { recordStatement(fleet.list, statement, vm); });
    recordUpdateFromOther(this->listChain, before, this->dataPath.fleet().list);
}

void EntryNode::dropEndpoint(const EndpointName &id)
{
    this->dataPath.dropEndpoint(id);
    const ListedVersion before = this->listedVersion(id);
    this->dataPath.changeFleet([this, &id](Fleet &fleet) { lacewing::removeEndpoint(fleet, id, this->clock.now()); });
    this->recordVersionChange(id, before);
}

EndpointInstance EntryNode::instanceOf(const EndpointName &id)
{
    const auto &endpoints = this->dataPath.fleet().endpoints;
    const auto found = endpoints.find(id);
    return {id, found == endpoints.end() ? 0 : found->second.entry.born};
}

Duration EntryNode::listInterval() const
{
    const bool covered = !this->owner.active() && isCovered(this->dataPath.fleet().list, this->clock.now());
    return covered ? coveredReadInterval : readInterval;
}

void EntryNode::listRead(const ListRead &read)
{
    this->noteListGap(read.begun);
    this->dataPath.reachStartStep("list");
    this->dataPath.changeFleet([&read](Fleet &fleet) { recordOwnRead(fleet.list, read.end, read.begun); });
    if (read.relisted) {
        resetChain(this->listChain);
    }
    this->forwardListChange();
    this->onFleetChanged();
    this->listConfirmation.listRead(read.begun);
    this->history.vmsKnown();
}

} // namespace lacewing
