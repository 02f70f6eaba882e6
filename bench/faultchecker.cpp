// Each property is one pass over the trace with a small table. Nothing of the core's own code or state is used, so
// that a mistake there cannot hide itself here.

#include "faultchecker.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace lacewing::faults {

namespace {

using RequestKey = std::pair<std::int64_t, std::int64_t>;

constexpr Duration leavingBound = milliseconds(3000);
constexpr Duration inForceBound = milliseconds(6000);
constexpr Duration quietBefore = milliseconds(20000);

RequestKey keyOf(const RequestId &request)
{
    return {request.node, request.number};
}

struct Checker {
    std::span<const TraceEvent> trace;
    CheckOptions options;
    std::map<RequestKey, const TraceEvent *> arrivals;
    std::vector<Violation> violations;

    void add(Property property, const TraceEvent &event, std::string text)
    {
        this->violations.push_back({property, event.at, event.request, std::move(text)});
    }

    const TraceEvent *arrivalOf(const TraceEvent &event) const
    {
        const auto found = this->arrivals.find(keyOf(event.request));
        return found == this->arrivals.end() ? nullptr : found->second;
    }
};

void checkVersions(Checker &checker)
{
    for (const TraceEvent &event : checker.trace) {
        if (event.kind != TraceKind::RunStarted && event.kind != TraceKind::Delivered) {
            continue;
        }
        const TraceEvent *arrival = checker.arrivalOf(event);
        if (arrival == nullptr || arrival->adapter != event.adapter) {
            checker.add(Property::RightVersion, event, "ran or answered on " + lacewing::toString(event.adapter));
        }
    }
}

void checkEvictions(Checker &checker)
{
    for (const TraceEvent &event : checker.trace) {
        if (event.kind == TraceKind::Unloaded && event.number > 0) {
            checker.add(Property::NoEvictionWhileServing, event, lacewing::toString(event.adapter) + " was serving");
        }
    }
}

/// Replays the claims as plainly as can be: a claim holds if it names the one that holds. Whoever starts a run
/// must hold a claim that held at some time, or two owners could each evict what the other one uses.
void checkOwners(Checker &checker)
{
    std::map<EndpointName, LogOffset> current;
    std::map<std::pair<EndpointName, LogOffset>, VmId> held;
    for (const TraceEvent &event : checker.trace) {
        if (event.kind != TraceKind::Claimed) {
            continue;
        }
        const auto found = current.find(event.endpoint);
        const LogOffset superseded = found == current.end() ? noOffset : found->second;
        if (event.basedOn == superseded) {
            current[event.endpoint] = event.number;
            held[{event.endpoint, event.number}] = event.vm;
        }
    }
    for (const TraceEvent &event : checker.trace) {
        if (event.kind != TraceKind::RunStarted) {
            continue;
        }
        const auto claim = held.find({event.endpoint, event.basedOn - 1});
        if (claim == held.end() || claim->second != event.vm) {
            checker.add(Property::NoEvictionWhileServing, event, "started under a claim that never held");
        }
    }
}

/// When each VM last died: the requests that it had then are excused from an answer.
std::map<VmId, TimePoint> lastDeaths(const Checker &checker)
{
    std::map<VmId, TimePoint> deaths;
    for (const TraceEvent &event : checker.trace) {
        if (event.kind == TraceKind::VmDied) {
            deaths[event.vm] = event.at;
        }
    }
    return deaths;
}

void checkAnswers(Checker &checker)
{
    std::map<RequestKey, std::int64_t> next;
    std::map<RequestKey, int> finishes;
    for (const TraceEvent &event : checker.trace) {
        const RequestKey key = keyOf(event.request);
        if (event.kind == TraceKind::Delivered) {
            if (keyOf(event.source) != key || finishes.contains(key) || event.number != next[key]) {
                checker.add(Property::WholeAnswer, event,
                            "piece " + std::to_string(event.number) + " of another answer, late or out of order");
            }
            next[key] = event.number + 1;
        } else if (event.kind == TraceKind::Finished) {
            if (++finishes[key] > 1) {
                checker.add(Property::WholeAnswer, event, "a second final answer");
            }
            const bool whole
                = event.outcome == RequestOutcome::Answered && event.number == static_cast<int>(ResultCode::Ok);
            const TraceEvent *arrival = checker.arrivalOf(event);
            if (whole && arrival != nullptr && next[key] != arrival->number) {
                checker.add(Property::WholeAnswer, event, "answered after " + std::to_string(next[key]) + " pieces");
            }
        }
    }
    if (!checker.options.settled) {
        return;
    }
    const std::map<VmId, TimePoint> deaths = lastDeaths(checker);
    for (const auto &[key, arrival] : checker.arrivals) {
        const auto death = deaths.find(arrival->vm);
        const bool excused = death != deaths.end() && death->second >= arrival->at;
        if (!finishes.contains(key) && !excused) {
            checker.add(Property::WholeAnswer, *arrival, "no final answer");
        }
    }
}

void checkNotRun(Checker &checker)
{
    std::set<RequestKey> ran;
    for (const TraceEvent &event : checker.trace) {
        if (event.kind == TraceKind::RunStarted) {
            ran.insert(keyOf(event.request));
        }
    }
    for (const TraceEvent &event : checker.trace) {
        const bool said = event.kind == TraceKind::Finished && event.outcome == RequestOutcome::NotRun;
        if (said && ran.contains(keyOf(event.request))) {
            checker.add(Property::NotRunIsTrue, event, "said not run, but it ran");
        }
    }
}

void checkAtMostOnce(Checker &checker)
{
    std::map<std::string, int> runs;
    for (const TraceEvent &event : checker.trace) {
        const TraceEvent *arrival = checker.arrivalOf(event);
        if (event.kind != TraceKind::RunStarted || arrival == nullptr || arrival->repeatable) {
            continue;
        }
        const std::string key = arrival->text.empty() ? lacewing::toString(event.request) : arrival->text;
        if (++runs[key] > 1) {
            checker.add(Property::AtMostOnce, event, "ran " + std::to_string(runs[key]) + " times with key " + key);
        }
    }
}

void checkLeaving(Checker &checker)
{
    std::map<std::pair<VmId, EndpointName>, TimePoint> shown;
    for (const TraceEvent &event : checker.trace) {
        if (event.kind == TraceKind::LeavingShown) {
            shown.emplace(std::pair {event.vm, event.endpoint}, event.at);
        } else if (event.kind == TraceKind::VmStarted) {
            std::erase_if(shown, [&event](const auto &entry) { return entry.first.first == event.vm; });
        } else if (event.kind == TraceKind::RunStarted) {
            const auto found = shown.find({event.vm, event.endpoint});
            if (found != shown.end() && event.at > found->second + leavingBound) {
                checker.add(Property::LeavingGetsNothingNew, event, event.endpoint + " was shown as leaving");
            }
        }
    }
}

/// What is open at one VM: requests of its callers, and its runs at endpoints.
struct OpenWork {
    std::set<RequestKey> requests;
    std::map<RequestKey, int> runs;
};

void checkStops(Checker &checker)
{
    std::map<VmId, OpenWork> open;
    std::set<VmId> stopping;
    std::set<RequestKey> started;
    TimePoint lastStop;
    for (const TraceEvent &event : checker.trace) {
        OpenWork &work = open[event.vm];
        const RequestKey key = keyOf(event.request);
        if (event.kind == TraceKind::Arrived) {
            work.requests.insert(key);
        } else if (event.kind == TraceKind::Finished) {
            work.requests.erase(key);
            const bool refused = event.number == static_cast<int>(ResultCode::ShuttingDown);
            // Cut: open when a stop was asked for, or started before or after it, and not answered after it. Another
            // send of a key is not: it is told of the first one.
            const TraceEvent *arrival = checker.arrivalOf(event);
            const bool ran = started.contains(key);
            const bool repeat = arrival != nullptr && !arrival->text.empty() && !ran;
            const bool wasOpen = arrival != nullptr && arrival->at <= lastStop;
            const bool inProgress = lastStop != TimePoint {} && (ran || wasOpen);
            const bool cut = event.outcome != RequestOutcome::Answered && !refused && !repeat && inProgress;
            if (checker.options.onlyPlannedStops && cut) {
                checker.add(Property::GracefulStop, event, "cut by a planned stop");
            }
        } else if (event.kind == TraceKind::RunStarted) {
            work.runs[key] += 1;
            started.insert(key);
        } else if (event.kind == TraceKind::RunEnded && --work.runs[key] <= 0) {
            work.runs.erase(key);
        } else if (event.kind == TraceKind::VmStarted) {
            work = {};
            stopping.erase(event.vm);
        } else if (event.kind == TraceKind::StopRequested) {
            stopping.insert(event.vm);
            lastStop = event.at;
        } else if (event.kind == TraceKind::StopFinished) {
            stopping.erase(event.vm);
            if (!work.requests.empty() || !work.runs.empty()) {
                checker.add(Property::GracefulStop, event, "stopped with work in progress");
            }
        } else if (event.kind == TraceKind::VmDied) {
            stopping.erase(event.vm);
        }
    }
    if (checker.options.settled && !stopping.empty()) {
        checker.add(Property::GracefulStop, checker.trace.back(), "the stop of " + *stopping.begin() + " does not end");
    }
}

/// Each accepted change has a revision of its own, and every VM shows the same at the same revision.
void checkRevisions(Checker &checker)
{
    std::map<std::int64_t, std::string> digests;
    std::map<VmId, std::int64_t> seen;
    std::map<std::int64_t, std::int64_t> accepted;
    for (const TraceEvent &event : checker.trace) {
        if (event.kind == TraceKind::VmStarted) {
            seen.erase(event.vm);
        } else if (event.kind == TraceKind::ConfigSeen) {
            if (seen.contains(event.vm) && event.number < seen[event.vm]) {
                checker.add(Property::ConfigurationHolds, event,
                            "went back to revision " + std::to_string(event.number));
            }
            seen[event.vm] = event.number;
            if (digests.emplace(event.number, event.text).first->second != event.text) {
                checker.add(Property::ConfigurationHolds, event, "differs at revision " + std::to_string(event.number));
            }
        } else if (event.kind == TraceKind::ChangeAccepted) {
            const bool built = event.basedOn + 1 == event.number;
            if (!accepted.emplace(event.number, event.basedOn).second || !built) {
                checker.add(Property::ConfigurationHolds, event,
                            "accepted on base " + std::to_string(event.basedOn) + " as "
                                + std::to_string(event.number));
            }
        }
    }
}

/// In a calm stretch every VM has an accepted change within the bound; at the end of a settled run, all have the last.
void checkSpread(Checker &checker)
{
    TimePoint faultAt;
    std::map<VmId, std::int64_t> seen;
    std::vector<std::pair<TimePoint, std::int64_t>> due;
    std::int64_t newest = 0;
    for (const TraceEvent &event : checker.trace) {
        while (!due.empty() && due.front().first < event.at) {
            for (const auto &[vm, revision] : seen) {
                if (due.front().second > revision && due.front().first - faultAt > quietBefore) {
                    checker.add(Property::ConfigurationHolds, event,
                                vm + " lacks revision " + std::to_string(due.front().second));
                }
            }
            due.erase(due.begin());
        }
        if (event.kind == TraceKind::ChangeAccepted) {
            due.emplace_back(event.at + inForceBound, event.number);
            newest = std::max(newest, event.number);
        } else if (event.kind == TraceKind::ConfigSeen) {
            seen[event.vm] = event.number;
            newest = std::max(newest, event.number);
        } else if (event.kind == TraceKind::VmStarted) {
            seen[event.vm] = 0;
            faultAt = event.at;
        } else if (event.kind == TraceKind::VmDied) {
            seen.erase(event.vm);
            faultAt = event.at;
        } else if (event.kind == TraceKind::Fault) {
            faultAt = event.at;
        }
    }
    for (const auto &[vm, revision] : seen) {
        if (checker.options.settled && revision != newest) {
            checker.add(Property::ConfigurationHolds, checker.trace.back(),
                        vm + " ends at revision " + std::to_string(revision) + " of " + std::to_string(newest));
        }
    }
}

} // namespace

std::string_view nameOf(Property property)
{
    switch (property) {
    case Property::RightVersion:
        return "right-version";
    case Property::NoEvictionWhileServing:
        return "no-eviction-while-serving";
    case Property::WholeAnswer:
        return "whole-answer";
    case Property::NotRunIsTrue:
        return "not-run-is-true";
    case Property::AtMostOnce:
        return "at-most-once";
    case Property::LeavingGetsNothingNew:
        return "leaving-gets-nothing-new";
    case Property::GracefulStop:
        return "graceful-stop";
    case Property::ConfigurationHolds:
        break;
    }
    return "configuration-holds";
}

std::vector<Violation> check(std::span<const TraceEvent> trace, const CheckOptions &options)
{
    Checker checker {trace, options, {}, {}};
    for (const TraceEvent &event : trace) {
        if (event.kind == TraceKind::Arrived) {
            checker.arrivals.emplace(keyOf(event.request), &event);
        }
    }
    checkVersions(checker);
    checkEvictions(checker);
    checkOwners(checker);
    checkAnswers(checker);
    checkNotRun(checker);
    checkAtMostOnce(checker);
    checkLeaving(checker);
    checkStops(checker);
    checkRevisions(checker);
    checkSpread(checker);
    return checker.violations;
}

std::string excerpt(std::span<const TraceEvent> trace, const Violation &violation)
{
    constexpr std::size_t mostLines = 40;
    std::vector<std::string> lines;
    for (const TraceEvent &event : trace) {
        const bool own = violation.request.node != 0 && event.request == violation.request;
        const bool fault = event.kind == TraceKind::Fault || event.kind == TraceKind::VmDied
            || event.kind == TraceKind::VmStarted || event.kind == TraceKind::StopRequested;
        const bool unload = violation.property == Property::NoEvictionWhileServing && event.kind == TraceKind::Unloaded
            && event.number > 0;
        const bool config = violation.property == Property::ConfigurationHolds
            && (event.kind == TraceKind::ConfigSeen || event.kind == TraceKind::ChangeAccepted);
        if (own || fault || unload || config) {
            lines.push_back(toString(event));
        }
    }
    std::string text;
    for (std::size_t index = lines.size() > mostLines ? lines.size() - mostLines : 0; index < lines.size(); ++index) {
        text += "    " + lines[index] + "\n";
    }
    return text;
}

std::string toString(const TraceEvent &event)
{
    static constexpr const char *names[]
        = {"arrived",  "finished",      "delivered",       "run-started",   "run-ended",
           "unloaded", "leaving-shown", "stop-requested",  "stop-finished", "vm-started",
           "vm-died",  "config-seen",   "change-accepted", "claimed",       "fault"};
    std::string line = std::to_string(toMilliseconds(event.at.time_since_epoch()) - 1000000);
    line += std::string(" ms ") + names[static_cast<std::size_t>(event.kind)];
    const auto add = [&line](const char *name, const std::string &value) {
        if (!value.empty()) {
            line += std::string(" ") + name + "=" + value;
        }
    };
    add("vm", event.vm);
    add("endpoint", event.endpoint);
    add("request", event.request.node == 0 ? std::string() : lacewing::toString(event.request));
    add("adapter", event.adapter.adapter.empty() ? std::string() : lacewing::toString(event.adapter));
    add("number", std::to_string(event.number));
    if (event.kind == TraceKind::Finished) {
        add("outcome", std::to_string(static_cast<int>(event.outcome)));
    }
    constexpr std::size_t longestText = 60;
    add("text", event.text.substr(0, longestText));
    return line;
}

} // namespace lacewing::faults
