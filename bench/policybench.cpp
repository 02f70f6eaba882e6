// scripts/bench policy [--deployment tala|ratapohja] [--seed N] [--seeds N] [--json] [--plot FILE]
//
// Runs our core, the naive policy and rendezvous affinity on the same traces at several offered loads and
// prints, per load, the median over the seeds and their range.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "corepolicy.h"
#include "plainpolicy.h"
#include "policybound.h"
#include "policyplot.h"

using namespace lacewing::bench;

namespace {

struct Figures {
    double urgentStall95 = 0;
    double meanStall = 0;
    double urgentStallMean = 0;
    double urgentQueue95 = 0;
    double urgentQueueMean = 0;
    double batch = 0;
    double goodput = 0;
    double refusedUrgent = 0;
    double missed = 0; ///< share of requests not finished in time
    double loads = 0;
    double preemptions = 0;
    double servingEvictions = 0;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

double mean(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

/// A request that never started counts with all the time it waited: its stall is cut off, not left out.
Figures measure(const TraceSettings &settings, const std::vector<TraceRequest> &trace, const SimResult &result)
{
    std::vector<double> stalls;
    std::vector<double> urgentStalls;
    std::vector<double> urgentQueues;
    Figures figures;
    double finished = 0;
    for (std::size_t index = 0; index < trace.size(); ++index) {
        if (trace[index].arrival < settings.warmupSeconds) {
            continue;
        }
        const RequestRecord &record = result.requests[index];
        const double stall = record.started ? record.stall : trace[index].deadline - trace[index].arrival;
        stalls.push_back(stall);
        finished += record.finished ? 1 : 0;
        if (trace[index].urgent) {
            urgentStalls.push_back(stall);
            urgentQueues.push_back(record.started ? record.queue : 0);
            figures.refusedUrgent += record.refusedBeforePatient ? 1 : 0;
        }
    }
    const double seconds = settings.seconds - settings.warmupSeconds;
    figures.urgentStall95 = quantile(urgentStalls, 0.95);
    figures.meanStall = mean(stalls);
    figures.urgentStallMean = mean(urgentStalls);
    figures.urgentQueue95 = quantile(urgentQueues, 0.95);
    figures.urgentQueueMean = mean(urgentQueues);
    figures.batch = result.steps > 0 ? result.tokens / (result.steps * settings.places) : 0;
    figures.goodput = result.goodTokens / seconds / tokenCapacity(settings);
    figures.missed = 1 - finished / std::max<double>(1, static_cast<double>(stalls.size()));
    figures.loads = static_cast<double>(result.loads) / settings.seconds;
    figures.preemptions = static_cast<double>(result.preemptions);
    figures.servingEvictions = static_cast<double>(result.servingEvictions);
    return figures;
}

Figures runPolicy(const std::string &policy, const std::string &deployment, const TraceSettings &settings,
                  StoreRefusals refusals = StoreRefusals::Never)
{
    const std::vector<TraceRequest> trace = makeTrace(settings);
    Simulation simulation(settings, trace);
    std::unique_ptr<SimPolicy> chosen;
    if (policy == "ours") {
        chosen = std::make_unique<CorePolicy>(settings, deploymentPreset(deployment), refusals);
    } else {
        chosen = std::make_unique<PlainPolicy>(settings, policy != "naive", policy == "affinity-serial");
    }
    return measure(settings, trace, simulation.run(*chosen));
}

struct Field {
    const char *name;
    double Figures::*value;
};

constexpr Field fields[] = {
    {"urgent_stall_p95", &Figures::urgentStall95},
    {"mean_stall", &Figures::meanStall},
    {"urgent_stall_mean", &Figures::urgentStallMean},
    {"urgent_queue_p95", &Figures::urgentQueue95},
    {"urgent_queue_mean", &Figures::urgentQueueMean},
    {"batch", &Figures::batch},
    {"goodput", &Figures::goodput},
    {"missed", &Figures::missed},
    {"loads_per_s", &Figures::loads},
    {"preemptions", &Figures::preemptions},
    {"urgent_refused_before_patient", &Figures::refusedUrgent},
    {"serving_evictions", &Figures::servingEvictions},
};

nlohmann::json summarise(const std::vector<Figures> &runs)
{
    nlohmann::json summary;
    for (const Field &field : fields) {
        std::vector<double> values;
        values.reserve(runs.size());
        for (const Figures &figures : runs) {
            values.push_back(figures.*field.value);
        }
        const auto [least, most] = std::minmax_element(values.begin(), values.end());
        summary[field.name] = {{"median", quantile(values, 0.5)}, {"least", *least}, {"most", *most}};
    }
    return summary;
}

double medianOf(const nlohmann::json &summary, const char *name)
{
    return summary.at(name).at("median").get<double>();
}

void printRow(double load, const std::string &policy, const nlohmann::json &summary)
{
    std::printf("%4.0f %%  %-17s", load * 100, policy.c_str());
    for (const Field &field : fields) {
        std::printf(" %9.3f", medianOf(summary, field.name));
    }
    const nlohmann::json &stall = summary.at("urgent_stall_p95");
    std::printf("   stall p95 %.3f..%.3f\n", stall.at("least").get<double>(), stall.at("most").get<double>());
    std::fflush(stdout);
}

void printHead()
{
    std::printf("%-7s%-17s  ustall95 mean-stal ustall-mn  uqueue95 uqueue-mn     batch   goodput    missed   loads/s "
                "preempted u-refused evict-srv\n",
                "load", "policy");
}

/// The paper's rule, a Retry-After kept as a deadline, against a loader that sleeps.
void compareRefusals(const std::string &deployment, TraceSettings settings, int seeds)
{
    printHead();
    for (const auto &[name, refusals] :
         {std::pair {"deadline", StoreRefusals::Deadline}, std::pair {"sleep", StoreRefusals::Sleep}}) {
        std::vector<Figures> runs;
        for (int seed = 1; seed <= seeds; ++seed) {
            settings.seed = static_cast<std::uint64_t>(seed);
            runs.push_back(runPolicy("ours", deployment, settings, refusals));
        }
        printRow(settings.load, name, summarise(runs));
    }
}

nlohmann::json runLoad(double load, const std::string &deployment, TraceSettings settings, int first, int seeds,
                       bool table)
{
    nlohmann::json row = {{"load", load}};
    settings.load = load;
    std::vector<double> bounds;
    std::vector<double> urgentBounds;
    for (int seed = first; seed < first + seeds; ++seed) {
        settings.seed = static_cast<std::uint64_t>(seed);
        bounds.push_back(boundMeanStall(settings, makeTrace(settings)));
        TraceSettings urgentOnly = settings;
        urgentOnly.patientWork = false;
        urgentBounds.push_back(boundMeanStall(urgentOnly, makeTrace(urgentOnly)));
    }
    row["bound_mean_stall"] = quantile(bounds, 0.5);
    row["bound_mean_stall_urgent_only"] = quantile(urgentBounds, 0.5);
    for (const std::string policy : {"ours", "ours-urgent-only", "affinity-serial", "affinity", "naive"}) {
        std::vector<Figures> runs;
        for (int seed = first; seed < first + seeds; ++seed) {
            TraceSettings run = settings;
            run.seed = static_cast<std::uint64_t>(seed);
            run.patientWork = policy != "ours-urgent-only";
            runs.push_back(runPolicy(run.patientWork ? policy : "ours", deployment, run));
        }
        row[policy] = summarise(runs);
        if (table) {
            printRow(load, policy, row[policy]);
        }
    }
    if (table) {
        std::printf("%4.0f %%  bound on the mean stall %.3f s, of the urgent requests alone %.3f s\n", load * 100,
                    quantile(bounds, 0.5), quantile(urgentBounds, 0.5));
    }
    return row;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("policybench", "Our policy against plainer ones on the same traces");
    TraceSettings settings;
    auto add = options.add_options();
    add("deployment", "tala or ratapohja", cxxopts::value<std::string>()->default_value("tala"));
    add("seed", "first seed", cxxopts::value<int>()->default_value("1"));
    add("retry-after", "compare ways to treat a store that refuses every tenth load for two seconds");
    add("seeds", "how many seeds", cxxopts::value<int>()->default_value("3"));
    add("loads", "offered loads", cxxopts::value<std::vector<double>>()->default_value("0.4,0.6,0.9,1.1,1.3"));
    add("slots", "adapter slots an engine", cxxopts::value<int>()->default_value("6"));
    add("json", "print JSON instead of the table");
    add("plot", "write an SVG plot to this file", cxxopts::value<std::string>()->default_value(""));
    const auto given = options.parse(argc, argv);
    settings.slots = given["slots"].as<int>();
    const bool table = given.count("json") == 0;
    if (given.count("retry-after") > 0) {
        settings.load = given["loads"].as<std::vector<double>>().front();
        compareRefusals(given["deployment"].as<std::string>(), settings, given["seeds"].as<int>());
        return 0;
    }
    if (table) {
        printHead();
    }
    nlohmann::json report;
    const auto deployment = given["deployment"].as<std::string>();
    for (const double load : given["loads"].as<std::vector<double>>()) {
        report.push_back(runLoad(load, deployment, settings, given["seed"].as<int>(), given["seeds"].as<int>(), table));
    }
    if (!table) {
        std::printf("%s\n", report.dump(2).c_str());
    }
    if (const auto plot = given["plot"].as<std::string>(); !plot.empty()) {
        std::ofstream(plot) << plotStalls(report);
    }
    return 0;
}
