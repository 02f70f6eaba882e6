// Pauses after rejections: first single rules, then a replay of full endpoints that fall over when they reject too many
// requests, on simulated time with fixed seeds, for three ways of reacting to a rejection.

#include "rejectionlimit.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};

} // namespace

Test(rejectionlimit, implausibleLimitsAreRecognized)
{
    for (const double rate : {0.0, -1.0, 1e9, std::numeric_limits<double>::quiet_NaN()}) {
        cr_expect_not(isPlausibleRejectionLimit(rate));
    }
    cr_expect(isPlausibleRejectionLimit(5));
}

Test(rejectionlimit, aLimitEndsWithAnAnswerWithoutOneOrWithoutAnyAnswer)
{
    RejectionLimit limit;
    cr_expect_not(hasRejectionLimit(limit, start));
    cr_expect(recordRejectionLimit(limit, 5, start));
    cr_expect_not(recordRejectionLimit(limit, 5, start + milliseconds(10)), "not changed");
    cr_expect_not(recordNoRejectionLimit(limit, start + milliseconds(50)), "may have been sent before");
    cr_expect(hasRejectionLimit(limit, start + milliseconds(500)));
    cr_expect(recordNoRejectionLimit(limit, start + milliseconds(500)));
    cr_expect_not(hasRejectionLimit(limit, start + milliseconds(500)));
    recordRejectionLimit(limit, 5, start);
    cr_expect_not(hasRejectionLimit(limit, start + rejectionLimitLifetime));
}

Test(rejectionlimit, aRejectionLowersTheShareAndTimeRestoresIt)
{
    EndpointRejections rejections;
    cr_expect_eq(requestShare(rejections, start), 1.0);
    recordRejections(rejections, 1, 20, 0, start);
    const double lowered = requestShare(rejections, start);
    cr_expect(lowered < 1 && lowered > 0.8, "%g", lowered);
    cr_expect_gt(requestShare(rejections, start + milliseconds(100)), lowered);
    cr_expect_eq(requestShare(rejections, start + milliseconds(2000)), 1.0);
    recordRejections(rejections, 1000, 1e6, 0, start + milliseconds(2000));
    cr_expect_geq(requestShare(rejections, start + milliseconds(2000)), minRequestShare);
}

// The rejections of a second may not come near the limit by chance.
Test(rejectionlimit, allVmsStopBeforeTheLimitIsReached)
{
    EndpointRejections rejections;
    recordRejections(rejections, 1, 5, 0, start);
    recordRejections(rejections, 1, 5, 0, start + milliseconds(100));
    cr_expect_gt(requestShare(rejections, start + milliseconds(100)), 0);
    recordRejections(rejections, 1, 5, 0.5, start + milliseconds(200));
    cr_expect_eq(requestShare(rejections, start + milliseconds(999)), 0);
    cr_expect_gt(timeUntilConsidered(rejections, start + milliseconds(999)).count(), 0);
    cr_expect_gt(requestShare(rejections, start + milliseconds(1250)), 0, "the first one is past");
}

Test(rejectionlimit, anEndpointThatStartsIsConsideredForFewRequests)
{
    EndpointRejections rejections;
    recordStart(rejections, 5, start);
    cr_expect_eq(requestShare(rejections, start), startRequestShare);
    cr_expect_eq(requestShare(rejections, start + milliseconds(10000)), 1.0);
}

namespace {

/// What a VM does after a rejection.
enum class Way {
    NextEndpoint, ///< tries the next endpoint, up to eight; nothing else changes
    Alone, ///< lowers the share by its own rejections only
    Shared, ///< announces the rejection; all VMs lower the share
};

struct Deployment {
    int vms = 6;
    int endpoints = 5;
    int room = 6; ///< requests that an endpoint takes at the same time
    double rate = 5; ///< rejections that it can make in a second
    double load = 1.3; ///< requests, as a share of what the endpoints can run
};

struct Outcome {
    int falls = 0;
    int offered = 0;
    int served = 0;
    std::int64_t announcements = 0; ///< datagrams sent, one for each recipient
};

constexpr int workMilliseconds = 60;
constexpr int downMilliseconds = 4000;
constexpr int tripMilliseconds = 1;
constexpr int viewAgeMilliseconds = 300; ///< of the other VMs' requests
constexpr double lossShare = 0.03;

struct ModelEndpoint {
    std::vector<int> ends; ///< of the requests that it runs
    std::vector<int> rejectedAt;
    int downUntil = 0;
    std::vector<int> runningAt; ///< by millisecond

    int running(int now)
    {
        std::erase_if(this->ends, [now](int end) { return end <= now; });
        return static_cast<int>(this->ends.size());
    }
};

struct ModelRequest {
    int vm = 0;
    int due = 0;
    int sends = 0;
    std::vector<int> tried;
};

class Model
{
public:
    Model(const Deployment &sizes, Way reaction, unsigned seed)
        : deployment(sizes),
          way(reaction),
          random(seed),
          endpoints(static_cast<std::size_t>(sizes.endpoints)),
          views(static_cast<std::size_t>(sizes.vms),
                std::vector<EndpointRejections>(static_cast<std::size_t>(sizes.endpoints)))
    {
    }

    Outcome run(int length)
    {
        const double perMillisecond = this->deployment.load * this->deployment.endpoints * this->deployment.room
            / static_cast<double>(workMilliseconds);
        std::poisson_distribution<int> arrivals(perMillisecond);
        std::uniform_int_distribution<int> anyVm(0, this->deployment.vms - 1);
        for (int now = 0; now < length; ++now) {
            for (ModelEndpoint &endpoint : this->endpoints) {
                endpoint.runningAt.push_back(endpoint.running(now));
            }
            const auto due = std::move(this->announced[now]);
            this->announced.erase(now);
            for (const auto &[vm, endpoint] : due) {
                this->record(vm, endpoint, now);
            }
            for (int count = arrivals(this->random); count > 0; --count) {
                this->outcome.offered += 1;
                this->requests[now].push_back({anyVm(this->random), now, 0, {}});
            }
            const auto sent = std::move(this->requests[now]);
            this->requests.erase(now);
            for (const ModelRequest &request : sent) {
                this->send(request, now);
            }
        }
        return this->outcome;
    }

private:
    TimePoint at(int now) const
    {
        return start + milliseconds(now);
    }

    void record(int vm, int endpoint, int now)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        recordRejections(this->views[vm][endpoint], 1, this->deployment.rate, draw(this->random), this->at(now));
    }

    bool considers(int vm, int index, int now)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        return this->way == Way::NextEndpoint
            || draw(this->random) < requestShare(this->views[vm][index], this->at(now));
    }

    int viewedLoad(int index, int now) const
    {
        const std::vector<int> &seen = this->endpoints[index].runningAt;
        return seen[static_cast<std::size_t>(std::max(0, now - viewAgeMilliseconds))];
    }

    int choose(const ModelRequest &request, int now)
    {
        std::vector<int> candidates;
        for (int index = 0; index < this->deployment.endpoints; ++index) {
            if (std::find(request.tried.begin(), request.tried.end(), index) == request.tried.end()) {
                candidates.push_back(index);
            }
        }
        std::shuffle(candidates.begin(), candidates.end(), this->random);
        if (this->way != Way::NextEndpoint) {
            candidates.resize(std::min(candidates.size(), sampledEndpoints));
        }
        std::erase_if(candidates, [&](int index) { return !this->considers(request.vm, index, now); });
        const auto best = std::min_element(candidates.begin(), candidates.end(), [&](int one, int other) {
            return this->viewedLoad(one, now) < this->viewedLoad(other, now);
        });
        return best == candidates.end() ? -1 : *best;
    }

    void send(ModelRequest request, int now)
    {
        const int most = this->way == Way::NextEndpoint ? 8 : maxSendsWithRejectionLimit;
        const int chosen = request.sends < most ? this->choose(request, now) : -1;
        if (chosen < 0) {
            return; // refused
        }
        ModelEndpoint &endpoint = this->endpoints[chosen];
        request.sends += 1;
        request.tried.push_back(chosen);
        if (now >= endpoint.downUntil && endpoint.running(now) < this->deployment.room) {
            endpoint.ends.push_back(now + workMilliseconds);
            this->outcome.served += 1;
            return;
        }
        if (now >= endpoint.downUntil) {
            this->reject(request.vm, chosen, now);
        }
        this->requests[now + 2 * tripMilliseconds].push_back(request);
    }

    void reject(int vm, int index, int now)
    {
        ModelEndpoint &endpoint = this->endpoints[index];
        std::erase_if(endpoint.rejectedAt, [now](int at) { return now - at >= 1000; });
        endpoint.rejectedAt.push_back(now);
        if (static_cast<double>(endpoint.rejectedAt.size()) > this->deployment.rate) {
            this->outcome.falls += 1;
            this->outcome.served -= endpoint.running(now);
            endpoint.ends.clear();
            endpoint.rejectedAt.clear();
            endpoint.downUntil = now + downMilliseconds;
            for (auto &view : this->views) {
                recordStart(view[static_cast<std::size_t>(index)], this->deployment.rate, this->at(endpoint.downUntil));
            }
        }
        this->announced[now + tripMilliseconds].emplace_back(vm, index);
        std::bernoulli_distribution lost(lossShare);
        for (int other = 0; this->way == Way::Shared && other < this->deployment.vms; ++other) {
            this->outcome.announcements += other == vm ? 0 : 1;
            if (other != vm && !lost(this->random)) {
                this->announced[now + 3 * tripMilliseconds].emplace_back(other, index);
            }
        }
    }

    Deployment deployment;
    Way way;
    std::mt19937_64 random;
    std::vector<ModelEndpoint> endpoints;
    std::vector<std::vector<EndpointRejections>> views;
    std::map<int, std::vector<ModelRequest>> requests;
    std::map<int, std::vector<std::pair<int, int>>> announced;
    Outcome outcome;
};

constexpr int replayMilliseconds = 10000;

} // namespace

// VMs of one zone and the endpoints that they send to. The rule of the service: at most 2 falls and a tenth of the
// endpoints. The figures of all loads are printed.
Test(rejectionlimit, endpointsFallSeldomIfAllVmsKnowOfEachRejection)
{
    const bool allWays = std::getenv("LACEWING_ALL_WAYS") != nullptr; // those that are compared, and more seeds
    for (const auto &[vms, endpoints] : {std::pair {6, 4}, std::pair {17, 1}, std::pair {17, 12}, std::pair {26, 40}}) {
        for (const double rate : {3.0, 5.0, 20.0}) {
            for (const double load : {0.35, 0.9, 2.5}) {
                for (const Way way : {Way::NextEndpoint, Way::Alone, Way::Shared}) {
                    if (way != Way::Shared && !allWays) {
                        continue;
                    }
                    Outcome sum;
                    for (unsigned seed = 1; seed <= (allWays ? 2U : 1U); ++seed) {
                        const Outcome one = Model({vms, endpoints, 6, rate, load}, way, seed).run(replayMilliseconds);
                        sum.falls += one.falls;
                        sum.offered += one.offered;
                        sum.served += one.served;
                        sum.announcements += one.announcements;
                        const bool sudden = rate < 5 && load > 1; // three times the load from one moment to the next
                        if (way == Way::Shared && !sudden) {
                            cr_expect_leq(one.falls, 2 + endpoints / 10, "%d VMs, rate %g, load %g, seed %u: %d falls",
                                          vms, rate, load, seed, one.falls);
                        }
                    }
                    cr_log_info("%2d VMs %2d endpoints rate %2g load %.2f way %d: falls %4d served %.3f, %.1f "
                                "announcements a second to each VM",
                                vms, endpoints, rate, load, static_cast<int>(way), sum.falls,
                                static_cast<double>(sum.served) / sum.offered,
                                static_cast<double>(sum.announcements) / vms / (2 * replayMilliseconds / 1000.0));
                }
            }
        }
    }
}
