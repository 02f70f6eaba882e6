// Replay is the only writer of the claim table, so every VM that has read the same records holds the same
// table. The rules that decide when a VM may append a claim are in ownershipcontroller.cpp: replay accepts
// any claim that names the current one, since by then the rule has been kept.

#include "claims.h"

#include "blackboard.h"
#include "queuecontroller.h"

namespace lacewing {

namespace {

constexpr std::string_view endpointPrefix = "endpoint/";

bool isMine(const Blackboard &blackboard, const wire::ClaimState &claim)
{
    const CoreSettings &settings = blackboard.settings;
    return claim.vm == settings.vm && claim.incarnation == settings.incarnation && !claim.released;
}

WriteLog describeClaim(std::string_view event, const std::string &resource, const wire::ClaimState &claim)
{
    return {event, {{"resource", resource}, {"vm", claim.vm}, {"offset", std::to_string(claim.offset)}}};
}

/// Follows a change of the current claim: at most one of before and after is this process's, or both are.
void follow(Blackboard &blackboard, const std::string &resource, const wire::ClaimState *before,
            const wire::ClaimState &after, TimePoint now, Actions &actions)
{
    const bool had = before != nullptr && isMine(blackboard, *before);
    const bool has = isMine(blackboard, after);
    const bool isEndpoint = resource.starts_with(endpointPrefix);
    const std::string_view endpoint = isEndpoint ? std::string_view(resource).substr(endpointPrefix.size()) : "";
    const bool wasGivenUp = blackboard.claims.givenUp.erase(resource) > 0;
    if (had && !after.released && !has) {
        blackboard.claims.lost[resource] = {after.vm, now};
        blackboard.claims.replaced = blackboard.claims.replaced || after.vm == blackboard.settings.vm;
        actions.emplace_back(describeClaim("claim_lost", resource, after));
    }
    if (had && isEndpoint && !wasGivenUp) {
        dropEndpoint(blackboard, endpoint, now, actions);
    }
    if (has) {
        actions.emplace_back(describeClaim("claim_taken", resource, after));
        if (before != nullptr && !before->released) {
            actions.emplace_back(Count {Counter::Takeovers});
        }
        blackboard.claims.lost.erase(resource);
    }
    if (has && isEndpoint) {
        takeEndpoint(blackboard, endpoint, after.offset + 1, now, actions);
    }
}

void replace(Blackboard &blackboard, const std::string &resource, const wire::ClaimState &after, TimePoint now,
             Actions &actions)
{
    const wire::ClaimState *current = findClaim(blackboard, resource);
    const std::optional<wire::ClaimState> before = current == nullptr ? std::nullopt : std::optional(*current);
    blackboard.claims.current[resource] = after;
    blackboard.claims.knownSince[resource] = now;
    blackboard.claims.openSince.erase(resource);
    follow(blackboard, resource, before ? &*before : nullptr, after, now, actions);
}

} // namespace

const wire::ClaimState *findClaim(const Blackboard &blackboard, std::string_view resource)
{
    const auto claim = blackboard.claims.current.find(std::string(resource));
    return claim == blackboard.claims.current.end() ? nullptr : &claim->second;
}

std::optional<VmId> ownerOfResource(const Blackboard &blackboard, std::string_view resource)
{
    const wire::ClaimState *claim = findClaim(blackboard, resource);
    return claim == nullptr || claim->released ? std::nullopt : std::optional(claim->vm);
}

bool ownsResource(const Blackboard &blackboard, std::string_view resource)
{
    const wire::ClaimState *claim = findClaim(blackboard, resource);
    return claim != nullptr && isMine(blackboard, *claim) && !blackboard.claims.givenUp.contains(std::string(resource));
}

std::optional<VmId> ownerOf(const Blackboard &blackboard, std::string_view endpoint)
{
    return ownerOfResource(blackboard, endpointResource(endpoint));
}

LogOffset fencingOf(const Blackboard &blackboard, std::string_view endpoint)
{
    const wire::ClaimState *claim = findClaim(blackboard, endpointResource(endpoint));
    return claim == nullptr || claim->released ? 0 : claim->offset + 1;
}

bool ownsEndpoint(const Blackboard &blackboard, std::string_view endpoint)
{
    return ownsResource(blackboard, endpointResource(endpoint));
}

bool replayClaim(Blackboard &blackboard, LogOffset offset, const wire::ClaimRecord &claim, TimePoint now,
                 Actions &actions)
{
    const wire::ClaimState *before = findClaim(blackboard, claim.resource);
    const LogOffset currentOffset = before == nullptr ? noOffset : before->offset;
    if (claim.supersedes != currentOffset && blackboard.settings.rules.claimOrder) {
        return false;
    }
    wire::ClaimState after;
    after.resource = claim.resource;
    after.vm = claim.vm;
    after.incarnation = claim.incarnation;
    after.offset = offset;
    replace(blackboard, claim.resource, after, now, actions);
    return true;
}

bool replayRelease(Blackboard &blackboard, const wire::ReleaseRecord &release, TimePoint now, Actions &actions)
{
    const wire::ClaimState *before = findClaim(blackboard, release.resource);
    if (before == nullptr || before->released || before->offset != release.claim) {
        return false;
    }
    wire::ClaimState after = *before;
    after.released = true;
    replace(blackboard, release.resource, after, now, actions);
    return true;
}

void installClaims(Blackboard &blackboard, const std::vector<wire::ClaimState> &claims, TimePoint now, Actions &actions)
{
    // Claims are never removed on the log, so a later state holds every resource of an earlier one.
    for (const wire::ClaimState &claim : claims) {
        const wire::ClaimState *before = findClaim(blackboard, claim.resource);
        if (before == nullptr || *before != claim) {
            replace(blackboard, claim.resource, claim, now, actions);
        }
    }
}

} // namespace lacewing
