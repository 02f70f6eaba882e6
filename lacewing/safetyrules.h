// Switches for the rules that keep the guarantees, one a rule. The daemon always runs with all of them on.
// The fault bench switches one off at a time and must then see its checker report a violation: that shows
// that the checker and the fault schedules are strong enough to notice the rule missing.
//
// A controller consults a rule where it applies it: if (rules.fencingCheck && ...) refuse.

#pragma once

namespace lacewing {

struct SafetyRules {
    bool fencingCheck = true; ///< endpoints that check fencing numbers refuse old ones (switched off at the fakes)
    bool claimOrder = true; ///< a claim holds only if it supersedes the current one
    bool vmListWait = true; ///< no takeover of an endpoint that ignores fencing before the VM list dropped its owner
    bool claimBeforeRun = true; ///< a request with a key runs only once the key is held by it
    bool homeVmCheck = true; ///< only the VM incarnation that minted a key says who holds it
    bool pinWhileServing = true; ///< an adapter that serves a request is not evicted
    bool dropLateFrames = true; ///< frames of any but the current attempt are dropped
    bool baseRevision = true; ///< a change must build on the revision in force
    bool replayOrder = true; ///< records are applied in log order only
    bool resendOnlyNotRun = true; ///< a request that may not be repeated is resent only after a proof of not run
    bool versionFixed = true; ///< the version is fixed on arrival; later attempts keep it
    bool refuseRepeatedOffer = true; ///< an owner takes each attempt at most once
    bool leavingCheck = true; ///< nothing new is started at a leaving endpoint
    bool stopWhenIdle = true; ///< a planned stop waits for the requests in progress
    bool proveNotRun = true; ///< "not run" is said only if no attempt may have run
};

} // namespace lacewing
