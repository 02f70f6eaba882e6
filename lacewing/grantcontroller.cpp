// One grant is out at a time, because loads that overlap take longer in sum. A grant whose GrantDone is
// lost expires. Requests are repeated by those who wait, so a new holder learns them within a second and
// forgets those that are no longer repeated; no list of waiting loads has to be handed over.

#include "grantcontroller.h"

#include <algorithm>
#include <cmath>

#include "blackboard.h"
#include "grantorder.h"
#include "loadcontroller.h"
#include "preset.h"

namespace lacewing {

namespace {

constexpr Duration forgetAfter = milliseconds(5000); ///< requests not repeated
constexpr Duration idleBeforePrefetch = milliseconds(500);
constexpr std::int64_t expiryLoads = 6; ///< a grant expires after so many mean loads
constexpr Duration leastExpiry = milliseconds(3000);
constexpr double paceShare = 0.9; ///< of the time per load at the preset's rate that must pass between grants

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration loadTime(const Blackboard &blackboard)
{
    const Duration measured = blackboard.grants.loadTime;
    return measured.count() > 0 ? measured : blackboard.settings.loadEstimate;
}

void receiveRequest(GrantState &grants, const VmId &from, const wire::GrantRequest &request, TimePoint now)
{
    const bool held = grants.outstanding && grants.outstanding->vm == from
        && grants.outstanding->number == request.number && now < grants.outstanding->expires;
    if (held) {
        return;
    }
    PendingGrant &pending = grants.pending[{request.endpoint, request.adapter}];
    if (pending.vm != from || pending.number != request.number) {
        pending = {from, request.number, 0, 0, now, now};
    }
    pending.worth = std::isfinite(request.worth) ? std::max(0.0, request.worth) : 0;
    pending.urgentWaiting = request.urgentWaiting;
    pending.refreshed = now;
}

void receiveDone(GrantState &grants, const VmId &from, const wire::GrantDone &done)
{
    const auto pending = grants.pending.find({done.endpoint, done.adapter});
    if (pending != grants.pending.end() && pending->second.vm == from && pending->second.number <= done.number) {
        grants.pending.erase(pending);
    }
    if (grants.outstanding && grants.outstanding->vm == from && grants.outstanding->number == done.number) {
        grants.outstanding.reset();
    }
}

wire::GrantReply makeReply(const OutstandingGrant &grant, TimePoint now)
{
    wire::GrantReply reply;
    reply.endpoint = grant.endpoint;
    reply.adapter = grant.adapter;
    reply.number = grant.number;
    reply.granted = true;
    reply.validMilliseconds = toMilliseconds(grant.expires - now);
    return reply;
}

void sendReply(Blackboard &blackboard, const OutstandingGrant &grant, TimePoint now, Actions &actions)
{
    const wire::GrantReply reply = makeReply(grant, now);
    if (grant.vm == blackboard.settings.vm) {
        applyGrant(blackboard, reply, now, actions);
        return;
    }
    wire::ControlMessage message;
    message.__set_grantReply(reply);
    actions.push_back(SendPeer {grant.vm, message});
}

/// Hands out the next grant if the store is free. @return whether one was handed out
bool grantNext(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    GrantState &grants = blackboard.grants;
    if (grants.outstanding && now >= grants.outstanding->expires) {
        grants.outstanding.reset();
    }
    if (grants.outstanding) {
        grants.busyUntil = now;
        return false;
    }
    if (grants.pending.empty() || now < grants.nextGrantAt) {
        return false;
    }
    std::erase_if(grants.pending, [now](const auto &entry) { return now - entry.second.refreshed > forgetAfter; });
    const auto chosen = chooseGrant(grants, now - grants.busyUntil >= idleBeforePrefetch, now);
    if (!chosen) {
        return false;
    }
    const auto pending = grants.pending.find(*chosen);
    const Duration expiry = std::max(leastExpiry, loadTime(blackboard) * expiryLoads);
    grants.outstanding = OutstandingGrant {pending->second.vm,     chosen->first, chosen->second,
                                           pending->second.number, now,           now + expiry};
    const double rate = policyInForce(blackboard).loadsPerSecond * grantHolder(blackboard, now).share;
    grants.nextGrantAt = now + fromSeconds(paceShare / rate);
    grants.pending.erase(pending);
    sendReply(blackboard, OutstandingGrant(*grants.outstanding), now, actions);
    return true;
}

void handleMessage(Blackboard &blackboard, const PeerMessageArrived &event, TimePoint now, Actions &actions)
{
    const wire::ControlMessage &message = event.message;
    if (message.__isset.grantRequest) {
        receiveRequest(blackboard.grants, event.from, message.grantRequest, now);
    }
    if (message.__isset.grantDone) {
        receiveDone(blackboard.grants, event.from, message.grantDone);
    }
    if (message.__isset.grantReply) {
        applyGrant(blackboard, message.grantReply, now, actions);
    }
}

} // namespace

void sendGrantRequest(Blackboard &blackboard, const wire::GrantRequest &request, TimePoint now, Actions &actions)
{
    const VmId holder = grantHolder(blackboard, now).vm;
    if (holder == blackboard.settings.vm) {
        receiveRequest(blackboard.grants, holder, request, now);
        return;
    }
    wire::ControlMessage message;
    message.__set_grantRequest(request);
    actions.push_back(SendPeer {holder, message});
}

void sendGrantDone(Blackboard &blackboard, const wire::GrantDone &done, TimePoint now, Actions &actions)
{
    receiveDone(blackboard.grants, blackboard.settings.vm, done);
    const VmId holder = grantHolder(blackboard, now).vm;
    if (holder != blackboard.settings.vm) {
        wire::ControlMessage message;
        message.__set_grantDone(done);
        actions.push_back(SendPeer {holder, message});
    }
}

void stepGrant(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    if (const auto *message = std::get_if<PeerMessageArrived>(&event)) {
        handleMessage(blackboard, *message, now, actions);
    }
    // A grant that its VM cannot use comes back at once, so the next one may follow in the same step.
    constexpr int mostGrants = 16;
    for (int count = 0; count < mostGrants && grantNext(blackboard, now, actions); ++count) {
    }
}

} // namespace lacewing
