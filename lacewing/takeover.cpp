// A claim by an earlier process of this VM's own name is a special case of both rules.
//
// Fenced: it may go at once, the engine refuses the old process.
//
// Unfenced: the new process runs only because it could bind the peer address, so an old process on the same
// VM has ended; and once the VM list, read more than its lag after this process started, shows this VM at
// this process's own address, no other VM of the same name is left. Both together: nobody acts on the claim.
//
// Claims by a process of the same name that came later than this process's start are those of its successor:
// this process is the old one, resumed, and must leave them alone.

#include "takeover.h"

#include "blackboard.h"
#include "membership.h"

namespace lacewing {

namespace {

/// How long a VM may be heard with a new process that does not see to the claims of the old one.
constexpr Duration successorGrace = milliseconds(3000);

bool isPredecessor(const Blackboard &blackboard, const wire::ClaimState &claim)
{
    const ClaimTable &claims = blackboard.claims;
    return claim.vm == blackboard.settings.vm && claim.offset < claims.startOffset && !claims.replaced;
}

/// The VM list confirms, for longer than its lag, that this process is the only one of its name.
bool isOnlyProcess(const Blackboard &blackboard)
{
    const MembershipState &membership = blackboard.membership;
    const auto self = membership.listed.find(blackboard.settings.vm);
    if (self == membership.listed.end() || !self->second.present) {
        return false;
    }
    const std::string &address = blackboard.settings.peerAddress;
    const bool sameAddress = address.empty() || address == self->second.address;
    return sameAddress && membership.listRead - blackboard.claims.started > blackboard.settings.vmListLag;
}

/// The owner VM is heard, but as another process than the one that claimed.
bool wasRestarted(const Blackboard &blackboard, const wire::ClaimState &claim, TimePoint now)
{
    const auto heard = blackboard.membership.heard.find(claim.vm);
    return heard != blackboard.membership.heard.end() && heard->second.incarnation != claim.incarnation
        && now - heard->second.incarnationSince >= successorGrace;
}

bool hasGone(const Blackboard &blackboard, const wire::ClaimState &claim, TimePoint now)
{
    const auto known = blackboard.claims.knownSince.find(claim.resource);
    const TimePoint existsSince = known == blackboard.claims.knownSince.end() ? now : known->second;
    return isGone(blackboard, claim.vm, existsSince, now);
}

} // namespace

bool mayTakeOverFenced(const Blackboard &blackboard, const wire::ClaimState &claim, TimePoint now)
{
    if (claim.vm == blackboard.settings.vm) {
        return isPredecessor(blackboard, claim);
    }
    const bool silent = !isHeard(blackboard, claim.vm, now);
    const auto listed = blackboard.membership.listed.find(claim.vm);
    const bool neverListed = listed == blackboard.membership.listed.end();
    if (neverListed && blackboard.membership.heard.find(claim.vm) == blackboard.membership.heard.end()) {
        // Its heartbeats may go to others: silence here says nothing until the list has had time to show it.
        return hasGone(blackboard, claim, now);
    }
    return silent || wasRestarted(blackboard, claim, now) || hasGone(blackboard, claim, now);
}

bool mayTakeOverUnfenced(const Blackboard &blackboard, const wire::ClaimState &claim, TimePoint now)
{
    if (claim.vm == blackboard.settings.vm) {
        return isPredecessor(blackboard, claim) && isOnlyProcess(blackboard);
    }
    if (!blackboard.settings.rules.vmListWait) {
        return mayTakeOverFenced(blackboard, claim, now);
    }
    return hasGone(blackboard, claim, now);
}

} // namespace lacewing
