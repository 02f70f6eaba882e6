// Connects the exchange of quotas to the data path, the datagrams and the timers of the VM.

#include "entrynode.h"

#include <utility>

#include "eventlog.h"

namespace lacewing {

QuotaSettings EntryNode::quotaSettings() const
{
    QuotaSettings quotas;
    quotas.vm = this->settings.vm;
    quotas.zone = this->settings.zone;
    quotas.millicores = this->settings.millicores;
    quotas.zones = this->settings.zoneCount;
    quotas.bounds = this->settings.quotaBounds;
    return quotas;
}

QuotaPorts EntryNode::quotaPorts()
{
    QuotaPorts ports;
    ports.ask = [this](const VmId &vm, const wire::QuotaAsk &ask) { this->gossip.sendQuotaAsk(vm, ask); };
    ports.answer
        = [this](const VmId &vm, const wire::QuotaAnswer &answer) { this->gossip.sendQuotaAnswer(vm, answer); };
    ports.announce = [this](const wire::QuotaLedgerNews &news) { this->gossip.sendQuotaLedgerToAll(news); };
    ports.zoneVms = [this] { return this->gossip.otherZoneVms(); };
    ports.wakeAfter = [this](Duration delay) { this->after(delay, [this] { this->quota.expire(); }); };
    return ports;
}

void EntryNode::connectQuota()
{
    this->gossip.onQuotaAsk = [this](const VmId &vm, const ZoneName &zone, const wire::QuotaAsk &ask) {
        this->quota.receiveAsk(vm, zone, ask);
    };
    this->gossip.onQuotaAnswer = [this](const wire::QuotaAnswer &answer) { this->quota.receiveAnswer(answer); };
    this->gossip.onQuotaLedger = [this](const VmId &vm, const ZoneName &zone, const wire::QuotaLedgerNews &news) {
        this->quota.receiveNews(vm, zone, news);
    };
    this->dataPath.acquireQuota = [this](const Organisation &organisation, double units, QuotaDone done) {
        this->quota.acquire(organisation, units, std::move(done));
    };
    this->dataPath.giveBackQuota = [this](const OrganisationName &organisation, double units, TimePoint asked) {
        this->quota.giveBack(organisation, units, asked);
    };
}

void EntryNode::shareRetryBudget()
{
    const double share = requestShare(this->settings.retryShare, this->settings.retryWindow);
    if (!this->vmsReadBegun) { // it does not know yet how many VMs there are
        this->dataPath.setRetryLimits(share, 1, 0);
        return;
    }
    const std::size_t vms = this->gossip.vmsInUse();
    const double burst = burstShare(this->settings.retryBurst, vms);
    const double perSecond = floorShare(this->settings.retryBurst, this->settings.retryWindow, vms);
    this->dataPath.setRetryLimits(share, burst, perSecond);
    if (std::exchange(this->retryBudgetVms, vms) != vms) {
        logEvent("retry_budget_shared",
                 {{"vms", std::to_string(vms)},
                  {"burst", std::to_string(burst)},
                  {"per_second", std::to_string(perSecond)}});
    }
}

} // namespace lacewing
