// Builds a small deployment in the fault harness, gives it load and brings about faults.
//
//   const RunReport report = runSchedule({.seed = 7});                     // random faults from the seed
//   const RunReport report = runSchedule({.seed = 7, .faults = {FaultKind::VmKill}});  // just these

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "faultchecker.h"
#include "safetyrules.h"

namespace lacewing::faults {

enum class FaultKind {
    LinkDelay,
    LinkDrop,
    LinkRepeat,
    LinkReorder,
    Cut,
    AsymmetricCut,
    ZoneCut, ///< from the other zone
    PlatformCut, ///< a zone from log and VM list
    VmKill,
    VmRestart,
    VmFreeze,
    VmFreezeMidStep,
    VmStop,
    VmIsolated, ///< cut from all VMs and the platform; callers and endpoints still reach it
    LogOutage,
    LostAppends,
    SlowAppends,
    Retention,
    ListLag,
    EndpointRestart,
    LoadFailures,
    SlowLoads,
    EndpointLeaving,
    RacingOperators,
    PopularityShift,
    CallersLeave,
};
constexpr int faultKinds = 26;

struct ScheduleOptions {
    std::uint64_t seed = 1;
    SafetyRules rules;
    std::vector<FaultKind> faults; ///< empty: drawn from the seed
    bool checkPlannedStops = false; ///< the only faults are planned stops
};

/// What one run did.
struct RunReport {
    std::vector<FaultKind> faults;
    std::vector<Violation> violations;
    Trace trace;
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    std::int64_t notRun = 0;
    std::int64_t unknown = 0;
    std::int64_t failed = 0;
    std::int64_t lostRepeatable = 0; ///< repeatable requests at VMs that lived, not answered
};

/// @param kind any fault
/// @return its name
std::string_view nameOf(FaultKind kind);

/// @param name of a fault
/// @return the fault; nothing if there is no such one
std::optional<FaultKind> faultNamed(std::string_view name);

/// @param options seed, rules and faults
/// @return what happened, checked
RunReport runSchedule(const ScheduleOptions &options);

/// @return names of the rules that can be switched off, in the order of SafetyRules
std::vector<std::string_view> ruleNames();

/// @param name of a rule
/// @return the rules with that one off; nothing if there is no such rule
std::optional<SafetyRules> rulesWithout(std::string_view name);

} // namespace lacewing::faults
