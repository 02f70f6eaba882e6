// Runs random fault schedules and checks the guarantees.
//
//   faultsbench --seeds 1000 [--seed FIRST] [--break RULE|all] [--faults NAME,NAME] [--threads N] [--json]
//
// Without --break it exits 0 only if no schedule breaks a guarantee. With --break it switches the rule off and
// exits 0 only if the checker catches that.

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "faultschedule.h"

using namespace lacewing;
using namespace lacewing::faults;

namespace {

struct Totals {
    std::mutex lock;
    std::int64_t runs = 0;
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    std::int64_t notRun = 0;
    std::int64_t unknown = 0;
    std::int64_t failed = 0;
    std::int64_t lostRepeatable = 0;
    std::map<std::string, std::int64_t> violations; ///< runs by property
    std::map<std::string, std::int64_t> faults;
    std::vector<std::uint64_t> failing; ///< seeds
};

void printViolation(std::uint64_t seed, const RunReport &report)
{
    std::cerr << "seed " << seed << " faults";
    for (const FaultKind fault : report.faults) {
        std::cerr << " " << nameOf(fault);
    }
    const Violation &violation = report.violations.front();
    std::cerr << "\n  " << nameOf(violation.property) << ": " << violation.text << "\n";
    std::cerr << excerpt(report.trace, violation);
}

void add(Totals &totals, std::uint64_t seed, const RunReport &report, bool print)
{
    const std::lock_guard guard(totals.lock);
    totals.runs += 1;
    totals.requests += report.requests;
    totals.answered += report.answered;
    totals.notRun += report.notRun;
    totals.unknown += report.unknown;
    totals.failed += report.failed;
    totals.lostRepeatable += report.lostRepeatable;
    for (const FaultKind fault : report.faults) {
        totals.faults[std::string(nameOf(fault))] += 1;
    }
    std::map<std::string, bool> broken;
    for (const Violation &violation : report.violations) {
        broken[std::string(nameOf(violation.property))] = true;
    }
    for (const auto &[property, seen] : broken) {
        totals.violations[property] += 1;
    }
    if (!broken.empty()) {
        totals.failing.push_back(seed);
        if (print) {
            printViolation(seed, report);
        }
    }
}

/// What is run, from the command line.
struct Plan {
    std::uint64_t first = 1;
    std::uint64_t count = 0;
    unsigned threads = 1;
    std::vector<FaultKind> faults;
};

void runSeeds(Totals &totals, const Plan &plan, const SafetyRules &rules, bool print)
{
    std::atomic<std::uint64_t> next = 0;
    const auto work = [&] {
        for (std::uint64_t index = next++; index < plan.count; index = next++) {
            const std::uint64_t seed = plan.first + index;
            add(totals, seed, runSchedule({seed, rules, plan.faults, false}), print);
        }
    };
    std::vector<std::thread> workers;
    for (unsigned index = 0; index < plan.threads; ++index) {
        workers.emplace_back(work);
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
}

nlohmann::json toJson(const Totals &totals)
{
    nlohmann::json json;
    json["runs"] = totals.runs;
    json["requests"] = totals.requests;
    json["answered"] = totals.answered;
    json["not_run"] = totals.notRun;
    json["unknown"] = totals.unknown;
    json["failed"] = totals.failed;
    json["lost_repeatable"] = totals.lostRepeatable;
    json["violating_runs"] = totals.failing.size();
    json["violations"] = totals.violations;
    json["failing_seeds"] = totals.failing;
    json["faults"] = totals.faults;
    return json;
}

void print(const Totals &totals, bool asJson)
{
    const nlohmann::json json = toJson(totals);
    if (asJson) {
        std::cout << json.dump(2) << "\n";
        return;
    }
    for (const auto &[name, value] : json.items()) {
        std::cout << name << " " << value.dump() << "\n";
    }
}

} // namespace

int main(int count, char **arguments)
{
    cxxopts::Options options("faultsbench", "random fault schedules, checked");
    options.add_options()("seeds", "how many", cxxopts::value<std::uint64_t>()->default_value("100"))(
        "seed", "the first", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "break", "rule to switch off, or all, one after the other", cxxopts::value<std::string>()->default_value(""))(
        "faults", "just these, comma-separated", cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "threads", "schedules at a time",
        cxxopts::value<unsigned>()->default_value("2"))("json", "print JSON")("help", "print this");
    try {
        const cxxopts::ParseResult parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        Plan plan;
        plan.count = parsed["seeds"].as<std::uint64_t>();
        plan.first = parsed["seed"].as<std::uint64_t>();
        plan.threads = parsed["threads"].as<unsigned>();
        for (const std::string &name : parsed["faults"].as<std::vector<std::string>>()) {
            const std::optional<FaultKind> fault = faultNamed(name);
            if (!fault && !name.empty()) {
                std::cerr << "no such fault: " << name << "\n";
                return 2;
            }
            if (fault) {
                plan.faults.push_back(*fault);
            }
        }
        const std::string broken = parsed["break"].as<std::string>();
        const bool asJson = parsed.count("json") > 0;
        if (broken.empty()) {
            Totals totals;
            runSeeds(totals, plan, {}, true);
            print(totals, asJson);
            return totals.failing.empty() ? 0 : 1;
        }
        bool allCaught = true;
        for (const std::string_view rule : ruleNames()) {
            if (broken != "all" && broken != rule) {
                continue;
            }
            Totals totals;
            runSeeds(totals, plan, rulesWithout(rule).value(), broken != "all");
            std::cout << "rule " << rule << " off: caught in " << totals.failing.size() << " of " << totals.runs
                      << " runs " << nlohmann::json(totals.violations).dump() << "\n";
            allCaught = allCaught && !totals.failing.empty();
        }
        if (broken != "all" && !rulesWithout(broken)) {
            std::cerr << "no such rule: " << broken << "\n";
            return 2;
        }
        return allCaught ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
