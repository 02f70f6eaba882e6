// A model of many VMs that share quotas, on a simulated clock: datagrams are delayed and lost, zones and VMs are cut
// off in one or both directions, VMs stop, start again and are frozen, and demand moves between zones.
//
//   QuotaModel model(settings, seed);
//   model.run(milliseconds(20000));
//   for (const OrganisationResult &result : model.results()) ...

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "clock.h"
#include "quotaexchange.h"
#include "routeconfig.h"

namespace lacewing::testing {

struct QuotaModelSettings {
    std::size_t vms = 6;
    std::size_t zones = 3;
    std::vector<double> rates; ///< quotas of the organisations, in tokens per second
    double demand = 0.55; ///< of each organisation, as a share of its quota
    double hotDemand = 0; ///< of the first organisation in the second quarter of the run; 0: as the others
    double datagramLoss = 0.005;
    bool faults = false;
    bool zoneCuts = false;
    bool equalShares = false; ///< each VM has an equal share of each quota instead
    bool oneZone = false; ///< demand of each organisation comes through one zone, which changes during the run
};

struct OrganisationResult {
    double rate = 0;
    double worstWindow = 0; ///< most tokens used in a window, as a share of what is allowed
    double offered = 0; ///< tokens
    double owed = 0; ///< tokens of requests that one bucket for all VMs would admit
    double refusedOwed = 0; ///< of these, refused
    double granted = 0; ///< tokens
};

class QuotaModel
{
public:
    QuotaModel(QuotaModelSettings modelSettings, std::uint64_t seed);

    void run(Duration length);

    std::vector<OrganisationResult> results() const;
    /// @return bytes per second that a VM sends and receives on average for the quotas
    double controlBytes() const;

private:
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    struct Vm {
        VmId id;
        std::size_t zone = 0;
        std::unique_ptr<QuotaExchange> exchange;
        std::uint64_t incarnation = 0;
        bool up = true;
        TimePoint frozenUntil;
        TimePoint deafUntil; ///< receives nothing
        TimePoint muteUntil; ///< sends nothing
        std::vector<TimePoint> heard; ///< by number of the VM
        QuotaLedger ownShare; ///< for equal shares
    };

    struct Use {
        TimePoint at;
        double units = 0;
    };

    struct Offer {
        double units = 0;
        bool owed = false;
    };

    void at(TimePoint time, std::function<void()> action);
    void startVm(std::size_t number);
    void beat(std::size_t number, std::uint64_t incarnation);
    void arrive(std::size_t organisation);
    void request(std::size_t number, std::size_t organisation, double units);
    void disturb();
    void cutZone();
    void deliver(std::size_t from, std::size_t to, std::size_t bytes, const std::function<void()> &action);
    bool isCut(std::size_t from, std::size_t to) const;
    bool owes(std::size_t organisation, double units);
    double demandOf(std::size_t organisation) const;
    std::size_t chooseVm(std::size_t organisation);
    std::size_t numberOf(const VmId &id) const;
    double draw();

    QuotaModelSettings settings;
    std::mt19937_64 random;
    RuntimeClock clock;
    TimePoint begun;
    TimePoint end;
    std::shared_ptr<const RouteConfig> config;
    std::priority_queue<Event> events;
    std::uint64_t nextOrder = 0;
    std::vector<Vm> vms;
    std::vector<std::vector<Use>> uses; ///< by organisation
    std::vector<QuotaLedger> references; ///< one bucket for all VMs, by organisation
    std::vector<OrganisationResult> totals;
    std::vector<TimePoint> outCutUntil; ///< by zone: what it sends to other zones is lost
    std::vector<TimePoint> inCutUntil; ///< by zone: what other zones send is lost
    double bytes = 0;
};

} // namespace lacewing::testing
