// Obtains units of the organisations' quotas for the requests of this VM, and grants units to other VMs while this VM
// is the ledger of its zone.
//
//   QuotaExchange quota(clock, settings, ports);
//   quota.setConfig(config); quota.heartbeat(); // each second
//   quota.acquire(organisation, units, [](const QuotaOutcome &outcome) { ... });
//
// A request is charged at the ledger of the own zone (zoneledger.h); where that one refuses or does not answer, at
// those of other zones.
//
// Load pattern: an organisation sends several times its quota through all VMs. Each refused request would cost a
// datagram to each ledger and its answer. So a VM that was refused refuses further requests of at least that size by
// itself, for as long as the ledgers expect to have too few units.
//
// Opens no socket and starts no timer: datagrams and wake-ups go through the ports. quotaledger.h and quotacredit.h
// have the decisions.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "lacewing_types.h"
#include "quotacredit.h"
#include "quotaledger.h"
#include "quotaoutcome.h"
#include "zoneledger.h"

namespace lacewing {

class RuntimeClock;
struct RouteConfig;

struct QuotaSettings {
    VmId vm;
    ZoneName zone;
    std::int32_t millicores = 0; ///< of this VM
    std::int32_t zones = 1; ///< that the quotas are divided among
    QuotaBounds bounds;
};

struct QuotaPorts {
    std::function<void(const VmId &, const wire::QuotaAsk &)> ask;
    std::function<void(const VmId &, const wire::QuotaAnswer &)> answer;
    std::function<void(const wire::QuotaLedgerNews &)> announce; ///< to all VMs
    std::function<std::vector<ZoneVm>()> zoneVms;
    std::function<void(Duration)> wakeAfter; ///< expire() is to be called after this time
};

/// @param wait until a refused request could be granted
/// @param draw uniformly distributed in [0, 1)
/// @return time after which its caller may return; spread, since callers refused together would return together
Duration quotaRetryAfter(Duration wait, double draw);

class QuotaExchange
{
public:
    /// @param runtimeClock source of all times
    /// @param exchangeSettings this VM and its zone
    /// @param exchangePorts what carries out what is decided here
    QuotaExchange(const RuntimeClock &runtimeClock, QuotaSettings exchangeSettings, QuotaPorts exchangePorts);

    /// @param next configuration in force
    void setConfig(std::shared_ptr<const RouteConfig> next);
    /// Called once the VMs of the zone are known. Until then this VM may not become the ledger: it could take itself
    /// for the only VM.
    void vmsListed();
    /// Called when this VM starts to stop: another VM becomes the ledger.
    void beginStop();
    /// Tells the ledger that this VM relies on it, and as the ledger tells the other zones; called each second.
    void heartbeat();
    /// Continues with asks that were not answered in time.
    void expire();

    /// Charges a request.
    /// @param organisation with a limited quota
    /// @param units to be charged
    /// @param done called once, possibly before this function returns
    void acquire(const Organisation &organisation, double units, QuotaDone done);
    /// Returns the units of a request that has not run.
    /// @param organisation that was charged
    /// @param units that were charged
    /// @param asked when they were asked for
    void giveBack(const OrganisationName &organisation, double units, TimePoint asked);

    void receiveAsk(const VmId &vm, const ZoneName &vmZone, const wire::QuotaAsk &ask);
    void receiveAnswer(const wire::QuotaAnswer &answer);
    void receiveNews(const VmId &vm, const ZoneName &vmZone, const wire::QuotaLedgerNews &news);

    /// @return the ledger of this zone as this VM sees it; empty if there is none
    VmId zoneLedger() const;
    /// @return whether any quota is kept
    bool active() const;

private:
    /// A request that waits for the answer of a ledger.
    struct PendingAsk {
        Organisation organisation;
        double units = 0;
        bool ledgersKnown = false;
        std::vector<VmId> ledgers; ///< still to be asked, the next one last
        TimePoint arrived;
        TimePoint asked; ///< first, or since the ledgers were last looked up
        TimePoint due; ///< when the next ledger is asked
        bool refused = false; ///< a ledger has too few units
        Duration wait {0}; ///< shortest time until a ledger that refused may have enough
        QuotaDone done;
    };

    /// A refusal that is expected to hold for other requests too.
    struct Refusal {
        double units = 0;
        TimePoint until;
    };

    struct OtherLedger {
        VmId vm;
        TimePoint heard;
    };

    std::vector<VmId> ledgersToAsk();
    bool isLedger();
    LedgerPart ownPart() const;
    QuotaGrant grantLocally(const Organisation &organisation, const QuotaNeed &need);
    QuotaNeed needOf(const PendingAsk &pending);
    void askNext(std::int64_t ticket);
    bool applyGrant(PendingAsk &pending, const QuotaGrant &grant);
    void finish(std::int64_t ticket, const QuotaOutcome &outcome);
    void refuse(std::int64_t ticket);
    const Organisation *findOrganisation(const OrganisationName &name) const;

    const RuntimeClock &clock;
    QuotaSettings settings;
    QuotaPorts ports;
    std::shared_ptr<const RouteConfig> config;
    QuotaLedger ledger; ///< used while this VM is the ledger of its zone
    bool wasLedger = false;
    std::map<VmId, TimePoint> relyingVms; ///< when each VM of the zone last told that it relies on this one
    std::map<ZoneName, OtherLedger> otherLedgers;
    std::map<OrganisationName, QuotaCredit> credits;
    std::map<OrganisationName, Refusal> refusals;
    std::map<std::int64_t, PendingAsk> pendingAsks;
    std::int64_t lastTicket = 0;
    std::mt19937_64 random;
    bool listed = false;
    bool stopping = false;
};

} // namespace lacewing
