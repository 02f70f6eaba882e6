// Retries of all VMs together while some endpoints stand still and read later
// what came, in simulated time. With LACEWING_ALL_WAYS set, it also prints what
// other ways to treat such endpoints lead to.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "coresettings.h"
#include "retryarrivals.h"
#include "retrybudget.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr double ratio = 0.2;
constexpr double slack = 52;
constexpr std::size_t vmCount = 6;
constexpr int mostSends = 4;
constexpr std::int64_t windowMilliseconds = 10000;
constexpr std::int64_t runMilliseconds = 60000;
constexpr std::int64_t answerMilliseconds = 3;

/// How a VM treats endpoints that stand still.
enum class Way {
    Ignore,
    Avoid, ///< retries go to endpoints that have answered lately
    Charge, ///< retries that arrive late are charged again
    Both,
};

struct Scenario {
    const char *name = nullptr;
    std::size_t endpoints = 4;
    std::size_t still = 2; ///< endpoints that stand still
    std::int64_t stillFor = 8000; ///< milliseconds
    std::int64_t pause = 4000; ///< milliseconds between two standstills
    int times = 2;
    double requestsPerSecond = 150;
    std::int64_t timeout = 1200; ///< milliseconds after which a request is given up
    double rejected = 0.9; ///< share of what reaches an endpoint
};

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + lacewing::milliseconds(milliseconds + 1); // time zero means "never"
}

struct Vm {
    RetryBudget budget;
    std::vector<RetryArrivals> arrivals;
};

struct Request {
    std::size_t vm = 0;
    std::int64_t sentByCaller = 0;
    int sends = 0;
    std::int64_t sentAt = 0;
    bool over = false;
};

struct Event {
    std::int64_t at = 0;
    std::int64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event &other) const
    {
        return this->at != other.at ? this->at > other.at : this->order > other.order;
    }
};

class Simulation
{
public:
    Simulation(const Scenario &chosen, Way chosenWay) : scenario(chosen), way(chosenWay), vms(vmCount)
    {
        this->settings.retryShare = requestShare(ratio, milliseconds(windowMilliseconds));
        this->settings.retryAtStart = 0;
        this->settings.retryBurst = burstShare(slack, vmCount);
        this->settings.retryFloor = floorShare(slack, milliseconds(windowMilliseconds), vmCount);
        for (Vm &vm : this->vms) {
            vm.arrivals.resize(chosen.endpoints);
        }
    }

    /// @return how many retries the worst window has beyond what is allowed;
    /// negative: fewer
    double run()
    {
        std::exponential_distribution<double> gap(this->scenario.requestsPerSecond / 1000);
        double next = 0;
        while (next < runMilliseconds) {
            this->runUntil(static_cast<std::int64_t>(next));
            this->begin(static_cast<std::int64_t>(next));
            next += gap(this->random);
        }
        this->runUntil(runMilliseconds + windowMilliseconds);
        return this->worst();
    }

    double servedShare() const
    {
        return static_cast<double>(this->served) / static_cast<double>(this->requests.size());
    }

private:
    void schedule(std::int64_t when, std::function<void()> what)
    {
        this->events.push({when, this->nextOrder++, std::move(what)});
    }

    void runUntil(std::int64_t end)
    {
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.run();
        }
        this->now = end;
    }

    /// @return when the endpoint reads what comes now
    std::int64_t readsAt(std::size_t endpoint) const
    {
        const std::int64_t first = windowMilliseconds;
        const std::int64_t period = this->scenario.stillFor + this->scenario.pause;
        if (endpoint >= this->scenario.still || this->now < first
            || this->now >= first + this->scenario.times * period) {
            return this->now;
        }
        const std::int64_t into = (this->now - first) % period;
        return into < this->scenario.stillFor ? this->now + this->scenario.stillFor - into : this->now;
    }

    void begin(std::int64_t when)
    {
        this->requests.push_back(when);
        const auto request = std::make_shared<Request>();
        request->vm = this->random() % vmCount;
        request->sentByCaller = when;
        noteFirstAttempt(this->vms.at(request->vm).budget, this->settings, at(when));
        this->schedule(when + this->scenario.timeout, [request] { request->over = true; });
        this->send(request);
    }

    std::size_t choose(const Vm &vm, bool retry)
    {
        std::vector<std::size_t> candidates;
        const bool avoids = retry && (this->way == Way::Avoid || this->way == Way::Both);
        for (std::size_t endpoint = 0; endpoint < this->scenario.endpoints; ++endpoint) {
            if (!avoids || !isSilent(vm.arrivals.at(endpoint), at(this->now))) {
                candidates.push_back(endpoint);
            }
        }
        const std::size_t draw = this->random();
        return candidates.empty() ? draw % this->scenario.endpoints : candidates.at(draw % candidates.size());
    }

    void send(const std::shared_ptr<Request> &request)
    {
        Vm &vm = this->vms.at(request->vm);
        const bool retry = request->sends > 0;
        const std::size_t endpoint = this->choose(vm, retry);
        request->sends += 1;
        request->sentAt = this->now;
        recordWritten(vm.arrivals.at(endpoint), at(this->now));
        if (retry) {
            recordInTransit(vm.arrivals.at(endpoint), at(this->now));
        }
        this->schedule(this->readsAt(endpoint), [this, request, retry, endpoint] {
            if (retry) {
                this->repeats.push_back(this->now);
            }
            if (!request->over) {
                this->schedule(this->now + answerMilliseconds,
                               [this, request, endpoint] { this->answer(request, endpoint); });
            }
        });
    }

    void answer(const std::shared_ptr<Request> &request, std::size_t endpoint)
    {
        if (request->over) {
            return;
        }
        Vm &vm = this->vms.at(request->vm);
        const std::int32_t late = recordAnswer(vm.arrivals.at(endpoint), at(request->sentAt), at(this->now));
        if (this->way == Way::Charge || this->way == Way::Both) {
            chargeLateRetries(vm.budget, this->settings, late, at(this->now));
        }
        if (!std::bernoulli_distribution(this->scenario.rejected)(this->random)) {
            request->over = true;
            this->served += 1;
        } else if (request->sends < mostSends && takeRetry(vm.budget, this->settings, at(this->now))) {
            this->send(request);
        }
    }

    static double countIn(const std::vector<std::int64_t> &times, std::int64_t from, std::int64_t to)
    {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), to)
                                   - std::lower_bound(times.begin(), times.end(), from));
    }

    double worst()
    {
        double most = -1e9;
        for (std::int64_t end = windowMilliseconds; end <= runMilliseconds; end += 50) {
            const std::int64_t from = end - windowMilliseconds;
            double base = 0;
            for (const std::int64_t back : {std::int64_t {0}, windowMilliseconds / 2, windowMilliseconds}) {
                base = std::max(base, countIn(this->requests, from - back, end - back));
            }
            most = std::max(most, countIn(this->repeats, from, end) - ratio * base - slack);
        }
        return most;
    }

    Scenario scenario;
    Way way;
    CoreSettings settings;
    std::vector<Vm> vms;
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> repeats; ///< when they arrived
    std::priority_queue<Event> events;
    std::int64_t nextOrder = 0;
    std::int64_t now = 0;
    std::int64_t served = 0;
    std::mt19937_64 random {1};
};

} // namespace

Test(retryarrivals, retriesStayWithinTheBudgetWhileEndpointsReadLateWhatCame)
{
    const std::vector<Scenario> scenarios {
        {"undisturbed", 4, 0, 0, 4000, 1},
        {"one of four, 8 s", 4, 1, 8000, 4000, 2},
        {"two of four, 8 s", 4, 2, 8000, 4000, 2},
        {"two of four, 8 s, 92 requests/s", 4, 2, 8000, 4000, 2, 92},
        {"three of four, 8 s, 60 requests/s", 4, 3, 8000, 4000, 2, 60},
        {"three of four, 6 s", 4, 3, 6000, 4000, 2},
        {"two of four, 1.1 s, eight times", 4, 2, 1100, 1500, 8},
        {"two of four, 8 s, timeout of 15 s", 4, 2, 8000, 4000, 2, 150, 15000},
        {"four of four, 5 s", 4, 4, 5000, 4000, 2},
        {"three of nine, 8 s, 40 requests/s", 9, 3, 8000, 4000, 2, 40, 4000},
        {"three of four, 8 s, 300 requests/s", 4, 3, 8000, 4000, 2, 300},
        {"two of four, 8 s, 300 requests/s", 4, 2, 8000, 4000, 2, 300},
        {"three of four, 8 s, 1,000 requests/s", 4, 3, 8000, 4000, 2, 1000},
        {"three of four, 5 s, 150 requests/s", 4, 3, 5000, 4000, 2},
        {"one of four, 8 s, 600 requests/s", 4, 1, 8000, 4000, 2, 600},
        {"three of four, 0.45 s, twelve times, 600 requests/s", 4, 3, 450, 800, 12, 600},
    };
    for (const Scenario &scenario : scenarios) {
        const double beyond = Simulation(scenario, Way::Both).run();
        cr_expect_leq(beyond, 0, "%s: %.1f retries beyond the budget", scenario.name, beyond);
        if (std::getenv("LACEWING_ALL_WAYS") != nullptr) {
            std::printf("| %s |", scenario.name);
            for (const Way way : {Way::Ignore, Way::Avoid, Way::Charge, Way::Both}) {
                Simulation simulation(scenario, way);
                const double worst = simulation.run();
                std::printf(" %.0f / %.3f |", worst, simulation.servedShare());
            }
            std::printf("\n");
        }
    }
}

Test(retryarrivals, aSlowEndpointIsNotChargedForWhileItAnswersOthers)
{
    RetryArrivals arrivals;
    recordWritten(arrivals, at(0));
    recordInTransit(arrivals, at(0));
    recordWritten(arrivals, at(100));
    cr_assert_eq(recordAnswer(arrivals, at(100), at(200)), 0, "it has read what was sent before");
    cr_assert_eq(recordAnswer(arrivals, at(0), at(3000)), 0, "the retry itself is answered after a long run");
    cr_assert_not(isSilent(arrivals, at(5000)), "nothing is left to answer");
}

Test(retryarrivals, anEndpointIsSilentUntilItAnswersAgain)
{
    RetryArrivals arrivals;
    recordWritten(arrivals, at(0));
    cr_assert_not(isSilent(arrivals, at(400)));
    cr_assert(isSilent(arrivals, at(600)));
    recordWritten(arrivals, at(700));
    recordInTransit(arrivals, at(700));
    cr_assert_eq(recordAnswer(arrivals, at(700), at(4000)), 1, "it was sent 3.3 s ago");
    cr_assert_not(isSilent(arrivals, at(9000)));
}
