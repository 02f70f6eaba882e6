// Retries of all VMs together while endpoints fail most requests, in simulated time. With LACEWING_ALL_WAYS set, it
// also prints what other ways to start a budget lead to.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

#include "coresettings.h"
#include "retrybudget.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr double ratio = 0.2;
constexpr double requestsPerSecond = 90;
constexpr double failing = 0.9; ///< share of the sends
constexpr int mostRetries = 3; ///< of one request
constexpr std::int64_t windowMilliseconds = 10000;
constexpr std::int64_t runMilliseconds = 40000;

/// How a VM that starts comes to retries.
enum class Way {
    Full, ///< all that it may save up, at once
    ByRequests, ///< none; it earns them by requests
    ByRequestsAndTime, ///< the same, and by time
};

/// One way to lose VMs.
struct Scenario {
    const char *name = nullptr;
    std::size_t vms = 6;
    double slack = 50;
    std::int64_t killInterval = 0; ///< milliseconds between two kills; 0: none
    bool oneByOne = false; ///< each kill ends one VM, else all
    std::int64_t cutFrom = 0; ///< milliseconds; from then on each half knows itself alone
    std::int64_t failsFrom = 0; ///< milliseconds; before, no send fails
};

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + lacewing::milliseconds(milliseconds);
}

class Simulation
{
public:
    explicit Simulation(const Scenario &chosen, Way chosenWay = Way::ByRequestsAndTime)
        : scenario(chosen), way(chosenWay), budgets(chosen.vms)
    {
        this->settings.retryShare = ratio;
        this->settings.retryAtStart = this->way == Way::Full ? chosen.slack : 0;
    }

    /// @return how many retries the worst window has beyond what is allowed; negative: fewer
    double run()
    {
        std::bernoulli_distribution arrives(requestsPerSecond / 1000);
        for (std::int64_t now = 0; now < runMilliseconds; ++now) {
            this->kill(now);
            if (arrives(this->random)) {
                this->requests.push_back(now);
                this->request(now);
            }
        }
        return this->worst();
    }

    /// @return retries that were made, for each request
    double retriesPerRequest() const
    {
        return static_cast<double>(this->retries.size()) / static_cast<double>(this->requests.size());
    }

private:
    void kill(std::int64_t now)
    {
        if (this->scenario.killInterval == 0 || now % this->scenario.killInterval != 0) {
            return;
        }
        if (this->scenario.oneByOne) {
            const auto turn = static_cast<std::size_t>(now / this->scenario.killInterval);
            this->budgets.at(turn % this->scenario.vms) = {};
        } else {
            this->budgets.assign(this->scenario.vms, {});
        }
    }

    void request(std::int64_t now)
    {
        const std::size_t parts = this->scenario.cutFrom > 0 && now >= this->scenario.cutFrom ? 2 : 1;
        const std::size_t known = std::max<std::size_t>(1, this->scenario.vms / parts);
        this->settings.retryBurst = burstShare(this->scenario.slack, known);
        const double perSecond = floorShare(this->scenario.slack, milliseconds(windowMilliseconds), known);
        this->settings.retryFloor = this->way == Way::ByRequestsAndTime ? perSecond : 0;
        RetryBudget &budget = this->budgets.at(this->random() % this->scenario.vms);
        noteFirstAttempt(budget, this->settings, at(now));
        std::bernoulli_distribution fails(now < this->scenario.failsFrom ? 0 : failing);
        for (int retry = 0; retry < mostRetries && fails(this->random); ++retry) {
            if (!takeRetry(budget, this->settings, at(now))) {
                return;
            }
            this->retries.push_back(now);
        }
    }

    static double countIn(const std::vector<std::int64_t> &times, std::int64_t from, std::int64_t to)
    {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), to)
                                   - std::lower_bound(times.begin(), times.end(), from));
    }

    double worst() const
    {
        double most = -1e9;
        for (std::int64_t end = windowMilliseconds; end <= runMilliseconds; end += 100) {
            const std::int64_t from = end - windowMilliseconds;
            const double allowed = ratio * countIn(this->requests, from, end) + this->scenario.slack;
            most = std::max(most, countIn(this->retries, from, end) - allowed);
        }
        return most;
    }

    Scenario scenario;
    Way way;
    CoreSettings settings;
    std::vector<RetryBudget> budgets;
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> retries;
    std::mt19937_64 random {1};
};

void printAllWays(const Scenario &scenario)
{
    std::printf("| %s, %zu VMs |", scenario.name, scenario.vms);
    for (const Way way : {Way::Full, Way::ByRequests, Way::ByRequestsAndTime}) {
        Simulation simulation(scenario, way);
        const double beyond = simulation.run();
        std::printf(" %.0f / %.2f |", beyond, simulation.retriesPerRequest());
    }
    std::printf("\n");
}

} // namespace

Test(retrybudget, retriesStayWithinTheBudgetWhileVmsAreKilledAgainAndAgain)
{
    const std::vector<Scenario> scenarios {
        {"undisturbed", 6, 50, 0},
        {"all killed every 2.6 s", 6, 50, 2600},
        {"all killed every 0.7 s", 6, 50, 700},
        {"all killed every 2.6 s, 58 VMs", 58, 50, 2600},
        {"all killed every 0.7 s, 30 VMs", 30, 50, 700},
        {"one by one, 0.4 s apart", 12, 50, 400, true},
        {"calm, then most fail", 6, 50, 0, false, 0, 20000},
        {"calm, then most fail, 48 VMs", 48, 50, 0, false, 0, 20000},
        {"calm, then most fail, 58 VMs", 58, 156, 0, false, 0, 20000},
        {"cut into halves", 12, 50, 0, false, 15000},
        {"cut into halves, killed one by one", 12, 50, 400, true, 15000},
    };
    for (const Scenario &scenario : scenarios) {
        const double beyond = Simulation(scenario).run();
        cr_expect_leq(beyond, 0, "%s: %.1f retries beyond the budget", scenario.name, beyond);
        if (std::getenv("LACEWING_ALL_WAYS") != nullptr) {
            printAllWays(scenario);
        }
    }
}

Test(retrybudget, aVmThatHasJustStartedEarnsRetriesWithItsRequests)
{
    CoreSettings settings;
    settings.retryShare = ratio;
    settings.retryAtStart = 0;
    settings.retryBurst = burstShare(50, 6);
    settings.retryFloor = floorShare(50, milliseconds(windowMilliseconds), 6);
    RetryBudget budget;
    for (int request = 0; request < 5; ++request) {
        noteFirstAttempt(budget, settings, at(request));
    }
    cr_assert(takeRetry(budget, settings, at(5)));
    cr_assert_not(takeRetry(budget, settings, at(5)));
    cr_assert(takeRetry(budget, settings, at(5000)), "time alone earns a retry");
}
