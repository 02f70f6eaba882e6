// The announcement of this VM in the platform's store, and the list of the others there.

#include "entrynode.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration listVmsRetry = milliseconds(1000);
/// VMs announce themselves again within this time after the store has lost what was written last.
constexpr Duration announcementSpread = milliseconds(2000);

} // namespace

VmContact EntryNode::contactOf(const EntryNodeSettings &settings, std::string token)
{
    return {settings.vm, settings.zone, settings.datagramAddress, std::move(token)};
}

void EntryNode::announce()
{
    this->port.announce(contactOf(this->settings, this->token), [this](bool stored) {
        if (!stored && !this->stopping) {
            this->after(listVmsRetry, [this] { this->announce(); });
        }
        // Only now: of two VMs that start together, the one stored last finds the other on the list. Read earlier, both
        // lists could lack the other VM until the next read, and each VM then claimed the zone.
        this->refreshVms();
    });
}

void EntryNode::restoreAnnouncement()
{
    if (this->stopping) {
        this->port.withdraw(this->settings.vm); // the store may list this VM again
        return;
    }
    // All VMs learn of the era at about the same time, and the store takes a bounded number of calls.
    std::uniform_int_distribution<std::int64_t> delay(0, toMilliseconds(announcementSpread));
    this->after(milliseconds(delay(this->random)), [this] {
        if (!this->stopping) {
            this->announce();
        }
    });
    this->after(announcementSpread + listVmsRetry, [this] { this->refreshVms(); }); // when all have done so
}

void EntryNode::refreshVms()
{
    this->port.listVms([this, begun = this->clock.now()](std::optional<std::vector<VmContact>> listed) {
        if (!listed) {
            this->after(listVmsRetry, [this] { this->refreshVms(); });
            return;
        }
        this->vmsReadBegun = std::max(this->vmsReadBegun.value_or(begun), begun);
        this->contacts.clear();
        for (const VmContact &contact : *listed) {
            this->gossip.addContact(contact);
            this->contacts[contact.vm] = contact;
        }
        this->quota.vmsListed();
        this->history.vmsKnown();
        this->restoreOrigins();
        this->heartbeat();
    });
}

} // namespace lacewing
