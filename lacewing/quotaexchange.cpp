// A ledger that does not answer is passed over after askTimeout, so a request waits at most that long for each zone.
// Units that arrive later are lost, which can only lower what is used.

#include "quotaexchange.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "knownvm.h"
#include "routeconfig.h"

namespace lacewing {

namespace {

/// An answer takes a round trip within the zone, and the turn of a VM that has a small part of a core.
constexpr Duration askTimeout = milliseconds(60);
/// Ledgers of other zones that a request may ask: more would cost each refused request more datagrams than it is worth.
constexpr std::size_t maxOtherLedgers = 2;
/// Announcements of ledgers are a second apart; one or two may be lost.
constexpr Duration ledgerLifetime = milliseconds(3500);
/// Requests of a VM that was refused are refused without a further question for at least this time.
constexpr Duration minRefusal = milliseconds(50);
/// A VM that has just started finds the ledger within this time, so its first requests wait.
constexpr Duration maxLedgerSearch = milliseconds(400);
constexpr Duration searchInterval = milliseconds(50);
constexpr Duration minRetryAfter = milliseconds(300);
constexpr Duration unknownRetryAfter = milliseconds(200);

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

Duration quotaRetryAfter(Duration wait, double draw)
{
    const Duration base = std::max(wait, minRetryAfter);
    return base + std::chrono::duration_cast<Duration>(2 * draw * base);
}

QuotaExchange::QuotaExchange(const RuntimeClock &runtimeClock, QuotaSettings exchangeSettings, QuotaPorts exchangePorts)
    : clock(runtimeClock),
      settings(std::move(exchangeSettings)),
      ports(std::move(exchangePorts)),
      random(std::hash<VmId> {}(this->settings.vm))
{
}

void QuotaExchange::setConfig(std::shared_ptr<const RouteConfig> next)
{
    this->config = std::move(next);
}

void QuotaExchange::vmsListed()
{
    this->listed = true;
}

void QuotaExchange::beginStop()
{
    this->stopping = true;
}

bool QuotaExchange::active() const
{
    return this->config
        && std::any_of(this->config->organisations.begin(), this->config->organisations.end(),
                       [](const Organisation &one) { return isLimited(one.quota); });
}

VmId QuotaExchange::zoneLedger() const
{
    std::vector<ZoneVm> vms = this->ports.zoneVms();
    if (this->listed && !this->stopping) {
        vms.push_back({this->settings.vm, this->settings.millicores, true});
    }
    return chooseLedger(vms);
}

LedgerPart QuotaExchange::ownPart() const
{
    const TimePoint now = this->clock.now();
    const auto isFresh = [now](const auto &entry) { return now - entry.second < vmFreshness; };
    const auto others
        = static_cast<std::size_t>(std::count_if(this->relyingVms.begin(), this->relyingVms.end(), isFresh));
    const std::size_t vms = this->ports.zoneVms().size() + 1;
    return {ledgerShare(this->settings.zones, others + 1, vms), this->settings.bounds};
}

bool QuotaExchange::isLedger()
{
    const bool chosen = this->zoneLedger() == this->settings.vm;
    if (chosen && !this->wasLedger) {
        this->ledger = {};
    }
    this->wasLedger = chosen;
    return chosen;
}

void QuotaExchange::heartbeat()
{
    if (!this->active()) {
        return;
    }
    const TimePoint now = this->clock.now();
    std::erase_if(this->relyingVms, [now](const auto &entry) { return now - entry.second >= vmFreshness; });
    const VmId chosen = this->zoneLedger();
    if (this->isLedger()) {
        for (const Organisation &organisation : this->config->organisations) {
            refillAccount(this->ledger.accounts[organisation.name], organisation.quota, this->ownPart(), now);
        }
        this->ports.announce(wire::QuotaLedgerNews {});
    } else if (!chosen.empty()) {
        this->ports.ask(chosen, wire::QuotaAsk {});
    }
}

std::vector<VmId> QuotaExchange::ledgersToAsk()
{
    const TimePoint now = this->clock.now();
    std::vector<VmId> ledgers;
    for (const auto &[zone, other] : this->otherLedgers) {
        if (now - other.heard < ledgerLifetime) {
            ledgers.push_back(other.vm);
        }
    }
    std::shuffle(ledgers.begin(), ledgers.end(), this->random);
    ledgers.resize(std::min(ledgers.size(), maxOtherLedgers));
    const VmId own = this->zoneLedger();
    if (!own.empty()) {
        ledgers.push_back(own);
    }
    return ledgers;
}

void QuotaExchange::acquire(const Organisation &organisation, double units, QuotaDone done)
{
    const TimePoint now = this->clock.now();
    if (const auto asked = spendUnits(this->credits[organisation.name], units, now)) {
        done({QuotaResult::Granted, *asked, Duration {0}});
        return;
    }
    const auto refusal = this->refusals.find(organisation.name);
    if (refusal != this->refusals.end() && now < refusal->second.until && units >= refusal->second.units) {
        done({QuotaResult::OverQuota, now, quotaRetryAfter(refusal->second.until - now, uniform(this->random))});
        return;
    }
    const std::int64_t ticket = ++this->lastTicket;
    PendingAsk &pending = this->pendingAsks[ticket];
    pending.organisation = organisation;
    pending.units = units;
    pending.arrived = now;
    pending.asked = now;
    pending.done = std::move(done);
    this->askNext(ticket);
}

QuotaNeed QuotaExchange::needOf(const PendingAsk &pending)
{
    const TimePoint now = this->clock.now();
    QuotaCredit &credit = this->credits[pending.organisation.name];
    return {pending.units - availableUnits(credit, now), expectedUnits(credit, now)};
}

QuotaGrant QuotaExchange::grantLocally(const Organisation &organisation, const QuotaNeed &need)
{
    return grantUnits(this->ledger, organisation, need, this->ownPart(), this->clock.now());
}

void QuotaExchange::askNext(std::int64_t ticket)
{
    PendingAsk &pending = this->pendingAsks.at(ticket);
    const TimePoint now = this->clock.now();
    if (!pending.ledgersKnown) {
        pending.ledgers = this->ledgersToAsk();
        pending.ledgersKnown = true;
    }
    while (!pending.ledgers.empty()) {
        const VmId next = pending.ledgers.back();
        pending.ledgers.pop_back();
        const QuotaNeed need = this->needOf(pending);
        if (next == this->settings.vm) {
            if (this->isLedger() && this->applyGrant(pending, this->grantLocally(pending.organisation, need))) {
                this->finish(ticket, {QuotaResult::Granted, pending.asked, Duration {0}});
                return;
            }
            continue;
        }
        wire::QuotaAsk ask;
        ask.ticket = ticket;
        ask.organisation = pending.organisation.name;
        ask.units = need.units;
        ask.spare = need.spare;
        pending.due = now + askTimeout;
        this->ports.ask(next, ask);
        this->ports.wakeAfter(askTimeout);
        return;
    }
    this->refuse(ticket);
}

bool QuotaExchange::applyGrant(PendingAsk &pending, const QuotaGrant &grant)
{
    if (grant.units <= 0) {
        pending.wait = pending.refused ? std::min(pending.wait, grant.wait) : grant.wait;
        pending.refused = true;
        return false;
    }
    QuotaCredit &credit = this->credits[pending.organisation.name];
    addUnits(credit, grant.units, pending.asked);
    this->refusals.erase(pending.organisation.name);
    // Fails if units that were at hand have expired since, or another request has spent them.
    return spendUnits(credit, pending.units, this->clock.now()).has_value();
}

void QuotaExchange::finish(std::int64_t ticket, const QuotaOutcome &outcome)
{
    const auto found = this->pendingAsks.find(ticket);
    const QuotaDone done = std::move(found->second.done);
    this->pendingAsks.erase(found);
    done(outcome);
}

void QuotaExchange::refuse(std::int64_t ticket)
{
    PendingAsk &pending = this->pendingAsks.at(ticket);
    const TimePoint now = this->clock.now();
    if (!pending.refused && now - pending.arrived < maxLedgerSearch) {
        pending.asked = now;
        pending.due = now + searchInterval;
        pending.ledgersKnown = false;
        this->ports.wakeAfter(searchInterval);
        return;
    }
    if (!pending.refused) {
        this->finish(ticket, {QuotaResult::Unknown, now, quotaRetryAfter(unknownRetryAfter, uniform(this->random))});
        return;
    }
    const Duration wait = std::max(pending.wait, minRefusal);
    this->refusals[pending.organisation.name] = {pending.units, now + wait};
    this->finish(ticket, {QuotaResult::OverQuota, now, quotaRetryAfter(wait, uniform(this->random))});
}

void QuotaExchange::expire()
{
    const TimePoint now = this->clock.now();
    std::vector<std::int64_t> late;
    for (const auto &[ticket, pending] : this->pendingAsks) {
        if (pending.due <= now) {
            late.push_back(ticket);
        }
    }
    for (const std::int64_t ticket : late) {
        this->askNext(ticket);
    }
}

void QuotaExchange::giveBack(const OrganisationName &organisation, double units, TimePoint asked)
{
    addUnits(this->credits[organisation], units, asked);
}

const Organisation *QuotaExchange::findOrganisation(const OrganisationName &name) const
{
    if (!this->config) {
        return nullptr;
    }
    const auto &all = this->config->organisations;
    const auto found
        = std::find_if(all.begin(), all.end(), [&name](const Organisation &one) { return one.name == name; });
    return found == all.end() ? nullptr : &*found;
}

void QuotaExchange::receiveAsk(const VmId &vm, const ZoneName &vmZone, const wire::QuotaAsk &ask)
{
    if (vmZone == this->settings.zone) {
        this->relyingVms[vm] = this->clock.now();
    }
    if (ask.ticket == 0) {
        return;
    }
    wire::QuotaAnswer answer;
    answer.ticket = ask.ticket;
    answer.waitMilliseconds = static_cast<std::int32_t>(toMilliseconds(minRefusal));
    const Organisation *organisation = this->findOrganisation(ask.organisation);
    const bool valid = ask.units >= 0 && ask.spare >= 0; // false for NaN
    if (organisation != nullptr && isLimited(organisation->quota) && valid && this->isLedger()) {
        const QuotaGrant grant = this->grantLocally(*organisation, {ask.units, ask.spare});
        answer.granted = grant.units;
        answer.waitMilliseconds = static_cast<std::int32_t>(toMilliseconds(grant.wait));
    }
    this->ports.answer(vm, answer);
}

void QuotaExchange::receiveAnswer(const wire::QuotaAnswer &answer)
{
    const auto found = this->pendingAsks.find(answer.ticket);
    if (found == this->pendingAsks.end()) {
        return;
    }
    PendingAsk &pending = found->second;
    const QuotaGrant grant {answer.granted, milliseconds(std::max(0, answer.waitMilliseconds))};
    if (this->applyGrant(pending, grant)) {
        this->finish(answer.ticket, {QuotaResult::Granted, pending.asked, Duration {0}});
    } else {
        this->askNext(answer.ticket);
    }
}

void QuotaExchange::receiveNews(const VmId &vm, const ZoneName &vmZone, const wire::QuotaLedgerNews &news)
{
    if (vmZone == this->settings.zone) {
        return;
    }
    if (news.active) {
        this->otherLedgers[vmZone] = {vm, this->clock.now()};
    } else {
        this->otherLedgers.erase(vmZone);
    }
}

} // namespace lacewing
