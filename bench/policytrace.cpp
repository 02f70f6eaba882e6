// Poisson arrivals, Zipf popularity over a permutation of the adapters. At each shift a few of the most
// popular adapters change places with rare ones. Urgent and patient requests come from streams of their
// own, so that leaving patient work out leaves the urgent requests as they are.

#include "policytrace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace lacewing::bench {

namespace {

constexpr double stepBase = 0.030;
constexpr double stepPerSequence = 0.002;
constexpr int urgentLeast = 40;
constexpr int urgentMost = 200;
constexpr int patientLeast = 200;
constexpr int patientMost = 600;
constexpr double urgentDeadline = 30;
constexpr double patientDeadline = 300;
constexpr int shiftedRanks = 3;
constexpr int popularRanks = 10;

/// Which adapter has which rank, from one shift to the next.
std::vector<std::vector<int>> makeRankings(const TraceSettings &settings)
{
    std::mt19937_64 random(settings.seed * 7919 + 1);
    std::vector<int> ranking(static_cast<std::size_t>(settings.adapters));
    std::iota(ranking.begin(), ranking.end(), 0);
    std::shuffle(ranking.begin(), ranking.end(), random);
    std::vector<std::vector<int>> rankings;
    for (double time = 0; time < settings.seconds; time += settings.shiftSeconds) {
        rankings.push_back(ranking);
        for (int count = 0; count < shiftedRanks; ++count) {
            std::uniform_int_distribution<std::size_t> popular(0, popularRanks - 1);
            std::uniform_int_distribution<std::size_t> rare(popularRanks, ranking.size() - 1);
            std::swap(ranking[popular(random)], ranking[rare(random)]);
        }
    }
    return rankings;
}

std::vector<double> zipfWeights(const TraceSettings &settings)
{
    std::vector<double> weights;
    for (int rank = 1; rank <= settings.adapters; ++rank) {
        weights.push_back(std::pow(rank, -settings.skew));
    }
    return weights;
}

void addStream(const TraceSettings &settings, bool urgent, double rate, std::vector<TraceRequest> &trace)
{
    std::mt19937_64 random(settings.seed * 104729 + (urgent ? 2 : 3));
    const std::vector<std::vector<int>> rankings = makeRankings(settings);
    const std::vector<double> weights = zipfWeights(settings);
    std::discrete_distribution<int> rank(weights.begin(), weights.end());
    std::exponential_distribution<double> gap(rate);
    std::uniform_int_distribution<int> tokens(urgent ? urgentLeast : patientLeast, urgent ? urgentMost : patientMost);
    for (double time = gap(random); time < settings.seconds; time += gap(random)) {
        TraceRequest request;
        request.arrival = time;
        request.rank = rank(random);
        const auto epoch = static_cast<std::size_t>(time / settings.shiftSeconds);
        request.adapter = rankings.at(epoch).at(static_cast<std::size_t>(request.rank));
        request.member = request.adapter % settings.members;
        request.urgent = urgent;
        request.tokens = tokens(random);
        request.deadline = time + (urgent ? urgentDeadline : patientDeadline);
        trace.push_back(request);
    }
}

} // namespace

double stepSeconds(int running)
{
    return stepBase + stepPerSequence * running;
}

double tokenCapacity(const TraceSettings &settings)
{
    return settings.engines * settings.places / stepSeconds(settings.places);
}

std::vector<TraceRequest> makeTrace(const TraceSettings &settings)
{
    constexpr double urgentMean = (urgentLeast + urgentMost) / 2.0;
    constexpr double patientMean = (patientLeast + patientMost) / 2.0;
    const double mean = settings.urgentShare * urgentMean + (1 - settings.urgentShare) * patientMean;
    const double rate = settings.load * tokenCapacity(settings) / mean;
    std::vector<TraceRequest> trace;
    addStream(settings, true, rate * settings.urgentShare, trace);
    if (settings.patientWork) {
        addStream(settings, false, rate * (1 - settings.urgentShare), trace);
    }
    std::sort(trace.begin(), trace.end(),
              [](const TraceRequest &left, const TraceRequest &right) { return left.arrival < right.arrival; });
    return trace;
}

} // namespace lacewing::bench
