// Once every reviewInterval each resource of interest is looked at: the endpoints of this zone, the grant
// and the checkpoint. One that this VM may claim is claimed after a delay that grows with this VM's rank
// for it, so that normally one VM appends and the others see its claim before their turn comes.
//
// The rank is that of rendezvous hashing over the zone's live VMs, but VMs that own their share already
// stand behind the others: hashing alone gives some VMs twice the mean of so few endpoints. Owners keep
// what they have until they are well above their share, and then let go of idle endpoints one by one.

#include "ownershipcontroller.h"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <xxhash.h>

#include "appends.h"
#include "blackboard.h"
#include "claims.h"
#include "logreplay.h"
#include "membership.h"
#include "queuecontroller.h"
#include "takeover.h"

namespace lacewing {

namespace {

constexpr Duration reviewInterval = milliseconds(100);
constexpr Duration rankDelay = milliseconds(400); ///< per rank, before a claim
constexpr std::size_t mostRankDelays = 8;
constexpr std::size_t claimsPerReview = 4;
constexpr Duration rebalanceInterval = milliseconds(5000);
/// An endpoint lost to a VM that is still on the list is not claimed back for this long.
constexpr Duration lostPatience = milliseconds(30'000);
/// Without any VM list, a VM takes itself to be alone only after this long.
constexpr Duration listPatience = milliseconds(5000);

struct Review {
    Blackboard &blackboard;
    TimePoint now;
    Actions &actions;
    std::vector<VmId> live; ///< VMs of this zone
    std::map<VmId, std::size_t> owned; ///< endpoints of this zone by owner, claims on their way included
    std::size_t share = 0; ///< endpoints of the zone per live VM, rounded up
    std::size_t budget = claimsPerReview;
};

/// A claim whose offset later ones name; noOffset: none so far.
LogOffset currentOffset(const Blackboard &blackboard, const std::string &resource)
{
    const wire::ClaimState *claim = findClaim(blackboard, resource);
    return claim == nullptr ? noOffset : claim->offset;
}

void appendClaim(Review &review, const std::string &resource)
{
    wire::ClaimRecord claim;
    claim.resource = resource;
    claim.vm = review.blackboard.settings.vm;
    claim.incarnation = review.blackboard.settings.incarnation;
    claim.supersedes = currentOffset(review.blackboard, resource);
    wire::LogRecord record;
    record.__set_claim(claim);
    const std::string nonce = requestAppend(review.blackboard, std::move(record), review.now, review.actions);
    review.blackboard.claims.attempts[resource] = {nonce, review.now};
}

/// Appends the release of a resource held by this process; the caller has stopped acting on it.
void appendRelease(Review &review, const std::string &resource)
{
    wire::ReleaseRecord release;
    release.resource = resource;
    release.claim = currentOffset(review.blackboard, resource);
    wire::LogRecord record;
    record.__set_release(release);
    const std::string nonce = requestAppend(review.blackboard, std::move(record), review.now, review.actions);
    review.blackboard.claims.attempts[resource] = {nonce, review.now};
}

/// An append is on its way whose outcome may still come.
bool isAttempting(Review &review, const std::string &resource)
{
    auto &attempts = review.blackboard.claims.attempts;
    const auto attempt = attempts.find(resource);
    if (attempt == attempts.end()) {
        return false;
    }
    const bool fresh = review.now - attempt->second.sent < review.blackboard.settings.appendTimeout;
    if (fresh && isAppendPending(review.blackboard, attempt->second.nonce)) {
        return true;
    }
    attempts.erase(attempt);
    return false;
}

std::size_t rankOf(const Review &review, const std::string &resource, bool bounded)
{
    std::vector<std::tuple<bool, std::uint64_t, VmId>> order;
    for (const VmId &vm : review.live) {
        std::string text = vm;
        text += '\n';
        text += resource;
        const auto owned = review.owned.find(vm);
        const bool full = bounded && owned != review.owned.end() && owned->second >= review.share;
        order.emplace_back(full, XXH3_64bits(text.data(), text.size()), vm);
    }
    std::sort(order.begin(), order.end());
    const auto self = std::find_if(order.begin(), order.end(), [&review](const auto &entry) {
        return std::get<VmId>(entry) == review.blackboard.settings.vm;
    });
    return static_cast<std::size_t>(self - order.begin());
}

/// Keeps two VMs that cannot hear each other from taking an endpoint from each other in turns.
bool wasLostLately(const Review &review, const std::string &resource)
{
    const auto lost = review.blackboard.claims.lost.find(resource);
    return lost != review.blackboard.claims.lost.end() && review.now - lost->second.at < lostPatience
        && !isGone(review.blackboard, lost->second.to, lost->second.at, review.now);
}

bool mayClaim(const Review &review, const std::string &resource, bool fenced)
{
    const wire::ClaimState *claim = findClaim(review.blackboard, resource);
    if (claim == nullptr || claim->released) {
        return true;
    }
    const CoreSettings &settings = review.blackboard.settings;
    if (claim->vm == settings.vm && claim->incarnation == settings.incarnation) {
        return false;
    }
    const bool allowed = fenced ? mayTakeOverFenced(review.blackboard, *claim, review.now)
                                : mayTakeOverUnfenced(review.blackboard, *claim, review.now);
    return allowed && !wasLostLately(review, resource);
}

void considerClaim(Review &review, const std::string &resource, bool fenced, bool bounded)
{
    auto &openSince = review.blackboard.claims.openSince;
    if (!mayClaim(review, resource, fenced)) {
        openSince.erase(resource);
        return;
    }
    const TimePoint since = openSince.try_emplace(resource, review.now).first->second;
    const std::size_t rank = std::min(rankOf(review, resource, bounded), mostRankDelays);
    const bool turn = review.now - since >= rankDelay * static_cast<std::int64_t>(rank);
    if (!turn || review.budget == 0 || isAttempting(review, resource)) {
        return;
    }
    --review.budget;
    if (bounded) {
        ++review.owned[review.blackboard.settings.vm];
    }
    appendClaim(review, resource);
}

void giveUp(Review &review, const std::string &resource)
{
    review.blackboard.claims.givenUp.insert(resource);
    review.blackboard.claims.lastGivenUp = review.now;
}

/// Stops acting on an idle endpoint and says so on the log.
bool releaseIfIdle(Review &review, const EndpointName &endpoint)
{
    const std::string resource = endpointResource(endpoint);
    if (!endpointIdle(review.blackboard, endpoint)) {
        return false;
    }
    // From here on this process never acts on the claim again, whatever becomes of the release.
    giveUp(review, resource);
    dropEndpoint(review.blackboard, endpoint, review.now, review.actions);
    appendRelease(review, resource);
    return true;
}

/// A release that was lost on the way is asked for again: until it is replayed nobody serves the endpoint.
void repeatReleases(Review &review)
{
    for (const std::string &resource : review.blackboard.claims.givenUp) {
        if (!isAttempting(review, resource)) {
            appendRelease(review, resource);
        }
    }
}

void rebalance(Review &review)
{
    Blackboard &blackboard = review.blackboard;
    const std::size_t mine = review.owned[blackboard.settings.vm];
    if (review.now < blackboard.claims.nextRebalance || mine <= review.share) {
        return;
    }
    blackboard.claims.nextRebalance = review.now + rebalanceInterval;
    const auto hasRoom = [&review](const VmId &vm) { return review.owned[vm] < review.share; };
    if (std::none_of(review.live.begin(), review.live.end(), hasRoom)) {
        return;
    }
    for (const auto &[name, endpoint] : blackboard.config.endpoints) {
        if (ownsEndpoint(blackboard, name) && releaseIfIdle(review, name)) {
            return;
        }
    }
}

void countOwned(Review &review)
{
    std::size_t endpoints = 0;
    for (const auto &[name, endpoint] : review.blackboard.config.endpoints) {
        if (endpoint.zone != review.blackboard.settings.zone) {
            continue;
        }
        ++endpoints;
        if (const auto owner = ownerOf(review.blackboard, name)) {
            ++review.owned[*owner];
        } else if (review.blackboard.claims.attempts.contains(endpointResource(name))) {
            ++review.owned[review.blackboard.settings.vm];
        }
    }
    const std::size_t vms = std::max<std::size_t>(review.live.size(), 1);
    review.share = (endpoints + vms - 1) / vms;
}

bool isReadyToClaim(const Review &review)
{
    const Blackboard &blackboard = review.blackboard;
    const bool listed = blackboard.membership.listStamp >= 0 || review.now - blackboard.claims.started >= listPatience;
    const bool knowsLog = blackboard.log.hasCaughtUp && isCaughtUp(blackboard);
    return listed && knowsLog && !isLeaving(blackboard, blackboard.settings.vm) && !blackboard.claims.replaced;
}

void claimWhatIsOpen(Review &review)
{
    for (const auto &[name, endpoint] : review.blackboard.config.endpoints) {
        if (endpoint.zone == review.blackboard.settings.zone) {
            considerClaim(review, endpointResource(name), endpoint.checksFencing, true);
        }
    }
    considerClaim(review, std::string(grantResource), true, false);
    considerClaim(review, std::string(checkpointResource), true, false);
}

std::vector<EndpointName> ownedEndpoints(const Blackboard &blackboard)
{
    std::vector<EndpointName> names;
    for (const auto &[name, owned] : blackboard.owner.endpoints) {
        if (ownsEndpoint(blackboard, name)) {
            names.push_back(name);
        }
    }
    return names;
}

/// Gives up what is idle: everything if this VM leaves, else what is no longer configured here.
void releaseWhatIsDone(Review &review, bool leaving)
{
    Blackboard &blackboard = review.blackboard;
    for (const EndpointName &name : ownedEndpoints(blackboard)) {
        if (leaving || !blackboard.config.endpoints.contains(name)) {
            releaseIfIdle(review, name);
        }
    }
    for (const std::string_view resource : {grantResource, checkpointResource}) {
        const std::string name(resource);
        if (leaving && ownsResource(blackboard, name)) {
            giveUp(review, name);
            appendRelease(review, name);
        }
    }
}

/// The stop is complete when nothing is owned and the releases were replayed; with the log down they are
/// not waited for longer than an append may take: others then take over as from a VM that failed.
void finishStop(Review &review)
{
    Blackboard &blackboard = review.blackboard;
    const bool busy = !blackboard.entry.requests.empty() || !ownedEndpoints(blackboard).empty();
    if (!blackboard.stopping || blackboard.claims.stopFinished) {
        return;
    }
    if (busy && blackboard.settings.rules.stopWhenIdle) {
        return;
    }
    const Duration waited = review.now - blackboard.claims.lastGivenUp;
    if (!blackboard.claims.givenUp.empty() && waited < blackboard.settings.appendTimeout) {
        return;
    }
    blackboard.claims.stopFinished = true;
    review.actions.emplace_back(StopFinished {});
}

void reviewAll(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    Review review {blackboard, now, actions, liveVms(blackboard, blackboard.settings.zone, now), {}, 0};
    const bool leaving = isLeaving(blackboard, blackboard.settings.vm);
    finishStop(review);
    countOwned(review);
    repeatReleases(review);
    releaseWhatIsDone(review, leaving);
    if (isReadyToClaim(review)) {
        claimWhatIsOpen(review);
        rebalance(review);
    }
}

} // namespace

void stepOwnership(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    ClaimTable &claims = blackboard.claims;
    if (!claims.running) {
        claims.running = true;
        claims.started = now;
    }
    if (std::holds_alternative<Tick>(event) && now >= claims.nextReview) {
        claims.nextReview = now + reviewInterval;
        reviewAll(blackboard, now, actions);
    }
}

} // namespace lacewing
