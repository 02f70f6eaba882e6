// Replay of a service whose endpoints fall over when they reject too many requests, with several zones, on simulated
// time with fixed seeds. Guards against VMs of other zones that send to an endpoint and hear of no rejection: their
// zone has lost its endpoints, no endpoint of it holds the adapter, or the VM has just started. Also against VMs that
// stand still, all of whose callers' requests are sent in the moment in which they go on.

#include "rejectionlimit.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <tuple>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};

/// Who learns of a rejection that a VM of the endpoint's zone has seen.
enum class Way {
    Zone, ///< the VMs of the zone
    All, ///< all VMs
    Digest, ///< the VMs of the zone at once, all others by a periodic digest of the zone's state
    AllAndStarted, ///< all VMs, within a budget; one that has just started gets a digest of each zone's state
};

/// What a VM does that has stood still.
enum class AfterStall {
    GoOn, ///< the time counts as one without rejections
    KeepShares, ///< shares are those of before
    Cautious, ///< shares are low, and it sends after a time of its own only
};

struct Deployment {
    int zones = 5;
    int vmsPerZone = 17;
    int endpointsPerZone = 1;
    int room = 6; ///< requests that an endpoint takes at the same time
    double rate = 5; ///< rejections that it can make in a second
    double load = 0.6; ///< requests, as a share of what the endpoints can run
    double foreignShare = 0; ///< of the requests that only an endpoint of another zone can run
    bool losesZone = true; ///< the endpoints of the first zone are lost, and half of the VMs start again
    int stallMilliseconds = 0; ///< for which half of the VMs stand still, several times
    AfterStall afterStall = AfterStall::Cautious;
    bool restartsAll = false; ///< all VMs are killed at the same time and start again
    bool limitStored = false; ///< a VM that starts knows of the limit
};

struct Outcome {
    int falls = 0;
    int offered = 0;
    int served = 0;
    std::int64_t received = 0; ///< bytes by all VMs
};

constexpr int workMilliseconds = 60;
constexpr int downMilliseconds = 4000;
constexpr int tripMilliseconds = 1;
constexpr int viewAgeMilliseconds = 300; ///< of the other VMs' requests
constexpr int noticeMilliseconds = 300; ///< until VMs no longer send to an endpoint that is down
constexpr int digestMilliseconds = 500;
constexpr int crashMilliseconds = 3000; ///< when the endpoints of the first zone are lost for downMilliseconds
constexpr int restartMilliseconds = 5000; ///< when half of the VMs start again
constexpr int replayMilliseconds = 12000;
constexpr int absenceMilliseconds = 1000; ///< of VMs that are killed; their callers return over the same time
constexpr int sendsWithoutLimit = 8;
constexpr int rampMilliseconds = 1000; ///< with half of the load, before VMs stand still
constexpr std::array<int, 3> stallBegins {2500, 6000, 9500}; ///< milliseconds
constexpr double lossShare = 0.03;
constexpr int announcementBytes = 70;
constexpr int digestBytesPerEndpoint = 30;

struct ModelEndpoint {
    int zone = 0;
    std::vector<int> ends; ///< of the requests that it runs
    std::vector<int> rejectedAt;
    int downSince = -1;
    int downUntil = 0;
    std::vector<int> runningAt; ///< by millisecond

    int running(int now)
    {
        std::erase_if(this->ends, [now](int end) { return end <= now; });
        return static_cast<int>(this->ends.size());
    }

    bool isDown(int now) const
    {
        return now < this->downUntil;
    }

    bool looksDown(int now) const
    {
        return this->isDown(now) && now - this->downSince >= noticeMilliseconds;
    }
};

struct ModelRequest {
    int vm = 0;
    bool foreign = false;
    int sends = 0;
    std::vector<int> tried;
};

struct Announcement {
    int vm = 0; ///< that receives it
    std::function<void(int)> apply;
};

class Model
{
public:
    Model(const Deployment &sizes, Way reaction, unsigned seed)
        : deployment(sizes),
          way(reaction),
          random(seed),
          vmCount(sizes.zones * sizes.vmsPerZone),
          endpoints(static_cast<std::size_t>(sizes.zones * sizes.endpointsPerZone)),
          budgets(static_cast<std::size_t>(this->vmCount)),
          stalledUntil(static_cast<std::size_t>(this->vmCount), 0),
          knowsLimit(static_cast<std::size_t>(this->vmCount), true),
          views(static_cast<std::size_t>(this->vmCount), std::vector<EndpointRejections>(this->endpoints.size()))
    {
        for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
            this->endpoints[index].zone = static_cast<int>(index) / sizes.endpointsPerZone;
        }
    }

    Outcome run()
    {
        const double perMillisecond = this->deployment.load * static_cast<double>(this->endpoints.size())
            * this->deployment.room / static_cast<double>(workMilliseconds);
        std::poisson_distribution<int> arrivals(perMillisecond);
        std::poisson_distribution<int> fewArrivals(perMillisecond / 2);
        std::uniform_int_distribution<int> anyVm(0, this->vmCount - 1);
        std::uniform_int_distribution<int> anyDelay(0, absenceMilliseconds);
        std::bernoulli_distribution isForeign(this->deployment.foreignShare);
        for (int now = 0; now < replayMilliseconds; ++now) {
            this->disturb(now);
            for (ModelEndpoint &endpoint : this->endpoints) {
                endpoint.runningAt.push_back(endpoint.running(now));
            }
            this->deliver(now);
            const bool begins = !this->deployment.losesZone && now < rampMilliseconds;
            for (int count = begins ? fewArrivals(this->random) : arrivals(this->random); count > 0; --count) {
                this->outcome.offered += 1;
                this->requests[now].push_back({anyVm(this->random), isForeign(this->random), 0, {}});
            }
            const auto sent = std::move(this->requests[now]);
            this->requests.erase(now);
            for (const ModelRequest &request : sent) {
                if (this->isStalled(request.vm, now)) {
                    const int spread = this->deployment.restartsAll ? anyDelay(this->random) : 0;
                    this->requests[this->stalledUntil[static_cast<std::size_t>(request.vm)] + spread].push_back(
                        request);
                } else {
                    this->send(request, now);
                }
            }
        }
        return this->outcome;
    }

private:
    static TimePoint at(int now)
    {
        return start + milliseconds(now);
    }

    int zoneOf(int vm) const
    {
        return vm / this->deployment.vmsPerZone;
    }

    bool isStalled(int vm, int now) const
    {
        return now < this->stalledUntil[static_cast<std::size_t>(vm)];
    }

    /// Every second VM stands still at fixed times.
    void stall(int now)
    {
        const bool begins = std::find(stallBegins.begin(), stallBegins.end(), now) != stallBegins.end();
        std::uniform_real_distribution<double> draw(0, 1);
        for (int vm = 1; this->deployment.stallMilliseconds > 0 && vm < this->vmCount; vm += 2) {
            int &until = this->stalledUntil[static_cast<std::size_t>(vm)];
            if (begins) {
                until = now + this->deployment.stallMilliseconds;
            } else if (until == now && now > 0) {
                for (EndpointRejections &known : this->views[static_cast<std::size_t>(vm)]) {
                    this->goOn(known, draw(this->random), now);
                }
            }
        }
    }

    void goOn(EndpointRejections &known, double draw, int now) const
    {
        const Duration silence = milliseconds(this->deployment.stallMilliseconds);
        if (this->deployment.afterStall == AfterStall::KeepShares) {
            known.changed += silence;
        } else if (this->deployment.afterStall == AfterStall::Cautious) {
            recordStall(known, silence, this->deployment.rate, draw, at(now));
        }
    }

    /// All VMs are killed; endpoints drop the requests of connections that are closed.
    void restartAll(int now)
    {
        for (ModelEndpoint &endpoint : this->endpoints) {
            this->outcome.served -= endpoint.running(now);
            endpoint.ends.clear();
        }
        for (int vm = 0; vm < this->vmCount; ++vm) {
            const auto index = static_cast<std::size_t>(vm);
            this->stalledUntil[index] = now + absenceMilliseconds;
            this->views[index].assign(this->endpoints.size(), {});
            this->knowsLimit[index] = false;
            if (this->deployment.limitStored) {
                this->learnLimit(vm, now + absenceMilliseconds);
            }
        }
    }

    void learnLimit(int vm, int now)
    {
        const auto index = static_cast<std::size_t>(vm);
        if (this->knowsLimit[index]) {
            return;
        }
        this->knowsLimit[index] = true;
        std::uniform_real_distribution<double> draw(0, 1);
        for (EndpointRejections &known : this->views[index]) {
            recordStall(known, Duration {0}, this->deployment.rate, draw(this->random), at(now));
        }
    }

    void disturb(int now)
    {
        this->stall(now);
        if (this->deployment.restartsAll && now == restartMilliseconds) {
            this->restartAll(now);
        }
        if (!this->deployment.losesZone) {
            return;
        }
        for (ModelEndpoint &endpoint : this->endpoints) {
            if (now == crashMilliseconds && endpoint.zone == 0) {
                this->takeDown(endpoint, now);
            }
        }
        for (int vm = 0; now == restartMilliseconds && vm < this->vmCount; vm += 2) {
            this->views[static_cast<std::size_t>(vm)].assign(this->endpoints.size(), {});
            std::uniform_real_distribution<double> draw(0, 1);
            for (EndpointRejections &known : this->views[static_cast<std::size_t>(vm)]) {
                if (this->way == Way::AllAndStarted) { // the VM learns of the limit and has heard of no rejection
                    recordStall(known, Duration {0}, this->deployment.rate, draw(this->random), at(now));
                }
            }
        }
        const bool started = this->way == Way::AllAndStarted && now == restartMilliseconds;
        if (started || (this->way == Way::Digest && now % digestMilliseconds == 0)) {
            for (int zone = 0; zone < this->deployment.zones; ++zone) {
                this->sendDigest(zone, now);
            }
        }
    }

    /// The zone's second VM tells all others what it knows; its first one may have just started.
    void sendDigest(int zone, int now)
    {
        const int teller = zone * this->deployment.vmsPerZone + 1;
        const auto &view = this->views[static_cast<std::size_t>(teller)];
        std::bernoulli_distribution lost(lossShare);
        for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
            const double share = requestShare(view[index], at(now));
            if (this->endpoints[index].zone != zone || share == 1) {
                continue;
            }
            const Duration stopped = std::max(Duration {0}, view[index].stoppedUntil - at(now));
            const EndpointRejections told = view[index];
            for (int vm = 0; vm < this->vmCount; vm += this->way == Way::AllAndStarted ? 2 : 1) {
                this->outcome.received += digestBytesPerEndpoint;
                if (!lost(this->random)) {
                    const double shareThen = stopped.count() > 0 ? told.share : share;
                    const auto apply = [this, vm, index, shareThen, stopped](int then) {
                        adoptShare(this->views[static_cast<std::size_t>(vm)][index], shareThen, stopped,
                                   this->deployment.rate, at(then));
                    };
                    this->announced[now + 2 * tripMilliseconds].push_back({vm, apply});
                }
            }
        }
    }

    void deliver(int now)
    {
        const auto due = std::move(this->announced[now]);
        this->announced.erase(now);
        for (const Announcement &one : due) {
            if (this->isStalled(one.vm, now)) { // a VM may read its callers' requests before its datagrams
                this->announced[this->stalledUntil[static_cast<std::size_t>(one.vm)] + 1].push_back(one);
            } else {
                one.apply(now);
            }
        }
    }

    int choose(const ModelRequest &request, int now)
    {
        std::vector<int> candidates;
        const auto collect = [&](const std::function<bool(const ModelEndpoint &)> &fits) {
            for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
                const int candidate = static_cast<int>(index);
                const bool tried
                    = std::find(request.tried.begin(), request.tried.end(), candidate) != request.tried.end();
                if (!tried && !this->endpoints[index].looksDown(now) && fits(this->endpoints[index])) {
                    candidates.push_back(candidate);
                }
            }
        };
        const int own = this->zoneOf(request.vm);
        collect([&](const ModelEndpoint &endpoint) { return (endpoint.zone == own) != request.foreign; });
        if (candidates.empty()) {
            collect([](const ModelEndpoint &) { return true; });
        }
        std::shuffle(candidates.begin(), candidates.end(), this->random);
        candidates.resize(std::min(candidates.size(), sampledEndpoints));
        std::uniform_real_distribution<double> draw(0, 1);
        std::erase_if(candidates, [&](int index) {
            const auto &view = this->views[static_cast<std::size_t>(request.vm)][static_cast<std::size_t>(index)];
            return this->knowsLimit[static_cast<std::size_t>(request.vm)]
                && draw(this->random) >= requestShare(view, at(now));
        });
        const auto seen = [&](int index) {
            return this->endpoints[static_cast<std::size_t>(index)]
                .runningAt[static_cast<std::size_t>(std::max(0, now - viewAgeMilliseconds))];
        };
        const auto best = std::min_element(candidates.begin(), candidates.end(),
                                           [&](int one, int other) { return seen(one) < seen(other); });
        return best == candidates.end() ? -1 : *best;
    }

    void send(ModelRequest request, int now)
    {
        const int mostSends
            = this->knowsLimit[static_cast<std::size_t>(request.vm)] ? maxSendsWithRejectionLimit : sendsWithoutLimit;
        const int chosen = request.sends < mostSends ? this->choose(request, now) : -1;
        if (chosen < 0) {
            return; // refused
        }
        ModelEndpoint &endpoint = this->endpoints[static_cast<std::size_t>(chosen)];
        request.sends += 1;
        request.tried.push_back(chosen);
        if (!endpoint.isDown(now) && endpoint.running(now) < this->deployment.room) {
            endpoint.ends.push_back(now + workMilliseconds);
            this->outcome.served += 1;
            this->announced[now + workMilliseconds].push_back(
                {request.vm, [this, vm = request.vm](int then) { this->learnLimit(vm, then); }});
            return;
        }
        if (!endpoint.isDown(now)) {
            this->reject(request.vm, chosen, now);
        }
        this->requests[now + 2 * tripMilliseconds].push_back(request);
    }

    void takeDown(ModelEndpoint &endpoint, int now)
    {
        this->outcome.served -= endpoint.running(now);
        endpoint.ends.clear();
        endpoint.rejectedAt.clear();
        endpoint.downSince = now;
        endpoint.downUntil = now + downMilliseconds;
        const auto index = static_cast<std::size_t>(&endpoint - this->endpoints.data());
        for (auto &view : this->views) {
            recordStart(view[index], this->deployment.rate, at(endpoint.downUntil));
        }
    }

    void reject(int vm, int index, int now)
    {
        ModelEndpoint &endpoint = this->endpoints[static_cast<std::size_t>(index)];
        std::erase_if(endpoint.rejectedAt, [now](int time) { return now - time >= 1000; });
        endpoint.rejectedAt.push_back(now);
        if (static_cast<double>(endpoint.rejectedAt.size()) > this->deployment.rate) {
            this->outcome.falls += 1;
            this->takeDown(endpoint, now);
        }
        std::bernoulli_distribution lost(lossShare);
        std::uniform_real_distribution<double> draw(0, 1);
        const auto vms = static_cast<std::size_t>(this->vmCount);
        const bool withinBudget = this->way == Way::AllAndStarted
            && takeAnnouncement(this->budgets[static_cast<std::size_t>(vm)], vms, at(now));
        const bool toAll = this->way == Way::All || withinBudget || this->zoneOf(vm) != endpoint.zone;
        for (int other = 0; other < this->vmCount; ++other) {
            if (other != vm && (!(toAll || this->zoneOf(other) == endpoint.zone) || lost(this->random))) {
                continue;
            }
            this->outcome.received += other == vm ? 0 : announcementBytes;
            const int delay = other == vm ? tripMilliseconds : 3 * tripMilliseconds;
            const auto apply = [this, other, index, value = draw(this->random)](int then) {
                this->learnLimit(other, then);
                recordRejections(this->views[static_cast<std::size_t>(other)][static_cast<std::size_t>(index)], 1,
                                 this->deployment.rate, value, at(then));
            };
            this->announced[now + delay].push_back({other, apply});
        }
    }

    Deployment deployment;
    Way way;
    std::mt19937_64 random;
    int vmCount;
    std::vector<ModelEndpoint> endpoints;
    std::vector<AnnouncementBudget> budgets;
    std::vector<int> stalledUntil; ///< by VM
    std::vector<bool> knowsLimit; ///< by VM
    std::vector<std::vector<EndpointRejections>> views;
    std::map<int, std::vector<ModelRequest>> requests;
    std::map<int, std::vector<Announcement>> announced;
    Outcome outcome;
};

} // namespace

// The rule of the service: at most 2 falls and a tenth of the endpoints. Endpoints of the first zone that are lost
// without a rejection do not count as falls.
Test(rejectionzones, endpointsDoNotFallToVmsOfOtherZones)
{
    const bool allWays = std::getenv("LACEWING_ALL_WAYS") != nullptr; // those that are compared, and more seeds
    for (const auto &[endpointsPerZone, foreignShare] :
         {std::pair {1, 0.0}, std::pair {1, 0.3}, std::pair {12, 0.0}, std::pair {12, 0.5}}) {
        for (const double rate : {3.0, 5.0, 20.0}) {
            for (const double load : {0.35, 0.6, 0.9}) {
                for (const Way way : {Way::Zone, Way::All, Way::Digest, Way::AllAndStarted}) {
                    if (way != Way::AllAndStarted && !allWays) {
                        continue;
                    }
                    Outcome sum;
                    int worst = 0;
                    Deployment deployment;
                    deployment.endpointsPerZone = endpointsPerZone;
                    deployment.rate = rate;
                    deployment.load = load;
                    deployment.foreignShare = foreignShare;
                    const unsigned seeds = allWays ? 8U : 3U;
                    const int allowed = 2 + deployment.zones * endpointsPerZone / 10;
                    for (unsigned seed = 1; seed <= seeds; ++seed) {
                        const Outcome one = Model(deployment, way, seed).run();
                        sum.falls += one.falls;
                        sum.offered += one.offered;
                        sum.served += one.served;
                        sum.received += one.received;
                        worst = std::max(worst, one.falls);
                        if (way == Way::AllAndStarted) {
                            cr_expect_leq(one.falls, allowed,
                                          "%d endpoints a zone, rate %g, load %g, seed %u: %d falls", endpointsPerZone,
                                          rate, load, seed, one.falls);
                        }
                    }
                    cr_log_info("%2d endpoints a zone, %.1f foreign, rate %2g, load %.2f, way %d: falls %3d (most %2d, "
                                "allowed %d), served %.3f, %.2f KB/s received by each VM",
                                endpointsPerZone, foreignShare, rate, load, static_cast<int>(way), sum.falls, worst,
                                allowed, static_cast<double>(sum.served) / sum.offered,
                                static_cast<double>(sum.received) / (deployment.zones * deployment.vmsPerZone)
                                    / (seeds * replayMilliseconds));
                }
            }
        }
    }
}

// Half of the VMs stand still for two seconds, three times.
Test(rejectionzones, endpointsDoNotFallToVmsThatStoodStill)
{
    const bool allWays = std::getenv("LACEWING_ALL_WAYS") != nullptr; // those that are compared, and more seeds
    for (const auto &[zones, vmsPerZone, endpointsPerZone, room] :
         {std::tuple {1, 12, 9, 2}, std::tuple {1, 24, 9, 2}, std::tuple {1, 3, 9, 2}, std::tuple {5, 17, 12, 6}}) {
        for (const double rate : {3.0, 5.0, 20.0}) {
            for (const double load : {0.6, 0.9, 1.2}) {
                for (const AfterStall way : {AfterStall::GoOn, AfterStall::KeepShares, AfterStall::Cautious}) {
                    if (way != AfterStall::Cautious && !allWays) {
                        continue;
                    }
                    Deployment deployment {zones, vmsPerZone, endpointsPerZone, room, rate, load};
                    deployment.losesZone = false;
                    deployment.stallMilliseconds = 2000;
                    deployment.afterStall = way;
                    Outcome sum;
                    int worst = 0;
                    const unsigned seeds = allWays ? 5U : 2U;
                    const int allowed = 2 + zones * endpointsPerZone / 10;
                    for (unsigned seed = 1; seed <= seeds; ++seed) {
                        const Outcome one = Model(deployment, Way::AllAndStarted, seed).run();
                        sum.falls += one.falls;
                        sum.offered += one.offered;
                        sum.served += one.served;
                        worst = std::max(worst, one.falls);
                        if (way == AfterStall::Cautious) {
                            cr_expect_leq(one.falls, allowed, "%d VMs, rate %g, load %g, seed %u: %d falls",
                                          zones * vmsPerZone, rate, load, seed, one.falls);
                        }
                    }
                    cr_log_info(
                        "%2d VMs, %2d endpoints, rate %2g, load %.2f, way %d: falls %3d (most %2d, allowed %d), "
                        "served %.3f",
                        zones * vmsPerZone, zones * endpointsPerZone, rate, load, static_cast<int>(way), sum.falls,
                        worst, allowed, static_cast<double>(sum.served) / sum.offered);
                }
            }
        }
    }
}

// All VMs are killed at the same time. Those that start do not know of the limit, and their callers come back together.
Test(rejectionzones, endpointsDoNotFallAfterAllVmsWereKilled)
{
    const bool allWays = std::getenv("LACEWING_ALL_WAYS") != nullptr; // those that are compared, and more seeds
    for (const auto &[zones, vmsPerZone, endpointsPerZone, room] :
         {std::tuple {1, 12, 9, 2}, std::tuple {1, 3, 9, 2}, std::tuple {5, 17, 1, 6}, std::tuple {5, 17, 12, 6}}) {
        for (const double rate : {3.0, 5.0, 20.0}) {
            for (const double load : {0.6, 0.9, 1.2}) {
                for (const bool stored : {false, true}) {
                    if (stored && !allWays) {
                        continue;
                    }
                    Deployment deployment {zones, vmsPerZone, endpointsPerZone, room, rate, load};
                    deployment.losesZone = false;
                    deployment.restartsAll = true;
                    deployment.limitStored = stored;
                    Outcome sum;
                    int worst = 0;
                    const unsigned seeds = allWays ? 5U : 2U;
                    const int allowed = 2 + zones * endpointsPerZone / 10;
                    for (unsigned seed = 1; seed <= seeds; ++seed) {
                        const Outcome one = Model(deployment, Way::AllAndStarted, seed).run();
                        sum.falls += one.falls;
                        sum.offered += one.offered;
                        sum.served += one.served;
                        worst = std::max(worst, one.falls);
                        cr_expect_leq(one.falls, allowed, "%d VMs, rate %g, load %g, seed %u: %d falls",
                                      zones * vmsPerZone, rate, load, seed, one.falls);
                    }
                    cr_log_info("%2d VMs, %2d endpoints, rate %2g, load %.2f, limit stored %d: falls %3d (most %2d, "
                                "allowed %d), served %.3f",
                                zones * vmsPerZone, zones * endpointsPerZone, rate, load, stored ? 1 : 0, sum.falls,
                                worst, allowed, static_cast<double>(sum.served) / sum.offered);
                }
            }
        }
    }
}
