// Holders are chosen by rendezvous hashing: a VM that starts or ends moves only the keys that it holds.
//
// A missing record shows that no stream was recorded only if it is missing where it would be. The first recordHolders +
// 1 VMs by rank, those not heard included, count for this: any recordHolders of them include a holder, also if one of
// them recorded the stream itself. Each of them that can be expected to answer has to, since a record may have been
// lost.

#include "originexchange.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "rendezvous.h"

namespace lacewing {

namespace {

/// An answer takes a round trip, and the turn of a VM that has a small part of a core.
constexpr Duration askTimeout = milliseconds(60);
constexpr std::size_t ownZone = 0;

} // namespace

OriginBasis originBasis(const SoftwareVersions &versions, const ServiceName &service, TimePoint now)
{
    OriginBasis basis;
    if (const auto first = firstVersion(versions, service, now)) {
        basis.firstVersion = first->softwareVersion;
        basis.sinceSecond = now - first->until + listAgeMargin;
    }
    return basis;
}

std::optional<OriginOutcome> decideWithoutRecord(const SoftwareVersions &versions, const ServiceName &service,
                                                 bool attemptNamed, TimePoint now)
{
    OriginEvidence evidence;
    evidence.needsOrigins = needsOrigins(versions, service, now);
    evidence.soleVersion = soleVersion(versions, service, now);
    evidence.attemptNamed = attemptNamed;
    return evidence.needsOrigins && attemptNamed ? std::nullopt : std::optional<OriginOutcome>(decideOrigin(evidence));
}

OriginExchange::OriginExchange(const RuntimeClock &runtimeClock, OriginSettings exchangeSettings,
                               OriginPorts exchangePorts)
    : clock(runtimeClock), settings(std::move(exchangeSettings)), ports(std::move(exchangePorts))
{
    this->origins.completeSince = this->clock.now();
    this->lastTicket = this->settings.firstTicket;
}

Duration OriginExchange::collected() const
{
    return this->clock.now() - this->origins.completeSince;
}

void OriginExchange::restartCollection()
{
    this->origins.completeSince = this->clock.now();
}

std::vector<OriginVm> OriginExchange::rank(StreamKey key, std::vector<OriginVm> vms)
{
    std::vector<std::pair<StreamKey, std::size_t>> scores;
    for (std::size_t index = 0; index < vms.size(); ++index) {
        scores.emplace_back(rendezvousScore(key, vms[index].vm), index);
    }
    std::sort(scores.begin(), scores.end());
    std::vector<OriginVm> ranked;
    ranked.reserve(scores.size());
    for (const auto &[score, index] : scores) {
        ranked.push_back(std::move(vms[index]));
    }
    return ranked;
}

std::vector<VmId> OriginExchange::recordTargets(StreamKey key, const std::vector<OriginVm> &vms)
{
    std::vector<VmId> targets;
    std::size_t holders = 0;
    for (const OriginVm &one : rank(key, vms)) {
        if (holders < recordHolders && (one.usable || targets.size() + recordHolders - holders < maxRecordTargets)) {
            targets.push_back(one.vm); // one that is not heard may hear this VM, and other VMs may hear it
            holders += one.usable ? 1 : 0;
        }
    }
    return targets;
}

OriginExchange::Candidates OriginExchange::candidates() const
{
    return {this->ports.zoneVms(), this->ports.otherZonesVms()};
}

std::vector<VmId> OriginExchange::holdersOf(StreamKey key, const Candidates &vms)
{
    std::vector<VmId> holders = recordTargets(key, vms.near);
    const std::size_t missing = recordHolders - std::min(recordHolders, holders.size());
    // The first VMs of all other zones are also the first of their zones, so those who ask zone by zone find them.
    std::vector<OriginVm> far = rank(key, vms.far);
    far.resize(std::min(far.size(), farHolders + missing));
    for (OriginVm &one : far) {
        holders.push_back(std::move(one.vm));
    }
    return holders;
}

void OriginExchange::remember(StreamKey key, const std::string &softwareVersion, Duration life)
{
    const TimePoint now = this->clock.now();
    rememberOrigin(this->unshared, key, softwareVersion, now + life, now);
}

const std::string *OriginExchange::known(StreamKey key) const
{
    const TimePoint now = this->clock.now();
    const std::string *shared = findOrigin(this->origins, key, now);
    return shared != nullptr ? shared : findOrigin(this->unshared, key, now);
}

void OriginExchange::find(StreamKey key, const OriginBasis &basis, OriginScope scope, OriginDone done)
{
    const std::int64_t ticket = ++this->lastTicket;
    PendingFind &pending = this->pendingFinds[ticket];
    pending.key = key;
    pending.evidence.attemptNamed = true;
    pending.evidence.firstVersion = basis.firstVersion;
    pending.evidence.sinceSecond = basis.sinceSecond;
    pending.scope = scope;
    pending.done = std::move(done);
    if (const std::string *remembered = this->known(key)) {
        pending.evidence.recorded = *remembered;
        pending.evidence.recordSource = "own_memory";
        this->finish(ticket);
        return;
    }
    this->askOwnZone(ticket);
}

void OriginExchange::sendAsk(std::int64_t ticket, PendingFind &pending, const VmId &vm, std::size_t zone)
{
    pending.unanswered[vm] = zone;
    wire::OriginAsk ask;
    ask.ticket = ticket;
    ask.key = static_cast<std::int64_t>(pending.key);
    this->ports.ask(vm, ask);
}

void OriginExchange::askZone(std::int64_t ticket, PendingFind &pending, std::size_t zone,
                             const std::vector<OriginVm> &vms, bool own)
{
    std::vector<OriginVm> all = vms;
    if (own) {
        all.push_back({this->settings.vm, this->settings.zone, true});
    }
    const std::vector<OriginVm> ranked = rank(pending.key, std::move(all));
    const std::size_t proving = std::min(ranked.size(), recordHolders + 1);
    pending.evidence.denials.emplace_back();
    // A VM that is alone has no holder: what it doesn't know was not recorded here.
    pending.evidence.denials.back().needed
        = std::max<std::size_t>(1, std::min(recordHolders, ranked.size() - (own && ranked.size() > 1 ? 1 : 0)));
    std::size_t expected = 0;
    for (std::size_t index = 0; index < proving; ++index) {
        pending.proving.insert(ranked[index].vm);
        expected += ranked[index].usable ? 1 : 0;
    }
    std::size_t &needed = pending.evidence.denials.back().needed;
    needed = std::max(needed, expected);
    if (own && pending.proving.contains(this->settings.vm)) {
        pending.evidence.denials.back().collected.push_back(this->collected());
    }
    const std::size_t ownAsks = pending.scope == OriginScope::Zone ? ranked.size() : zoneAsks;
    std::size_t asked = 0;
    for (const OriginVm &one : ranked) {
        if (one.usable && one.vm != this->settings.vm && asked < (own ? ownAsks : otherZoneAsks)) {
            this->sendAsk(ticket, pending, one.vm, zone);
            asked += 1;
        }
    }
}

void OriginExchange::askOwnZone(std::int64_t ticket)
{
    PendingFind &pending = this->pendingFinds.at(ticket);
    pending.due = this->clock.now() + askTimeout;
    this->askZone(ticket, pending, ownZone, this->ports.zoneVms(), true);
    this->ports.wakeAfter(askTimeout);
    this->advance(ticket);
}

void OriginExchange::askOtherZones(std::int64_t ticket)
{
    PendingFind &pending = this->pendingFinds.at(ticket);
    std::map<ZoneName, std::vector<OriginVm>> zones;
    for (OriginVm &one : this->ports.otherZonesVms()) {
        zones[one.zone].push_back(std::move(one));
    }
    pending.otherZones = true;
    pending.due = this->clock.now() + askTimeout;
    for (const auto &[vm, zone] : std::map<VmId, std::size_t>(pending.unanswered)) {
        this->sendAsk(ticket, pending, vm, zone); // the ask or its answer may have been lost
    }
    std::size_t zone = ownZone;
    for (const auto &[name, vms] : zones) {
        this->askZone(ticket, pending, ++zone, vms, false);
    }
    this->ports.wakeAfter(askTimeout);
}

void OriginExchange::advance(std::int64_t ticket)
{
    PendingFind &pending = this->pendingFinds.at(ticket);
    const bool late = pending.due <= this->clock.now();
    if (!pending.unanswered.empty() && !late) {
        return;
    }
    if (!pending.otherZones) {
        this->askOtherZones(ticket);
    }
    // Late answers of the own zone still count while the other zones are asked.
    if (pending.unanswered.empty() || pending.due <= this->clock.now()) {
        this->finish(ticket);
    }
}

void OriginExchange::finish(std::int64_t ticket)
{
    const auto found = this->pendingFinds.find(ticket);
    const PendingFind pending = std::move(found->second);
    this->pendingFinds.erase(found);
    const OriginOutcome outcome = decideOrigin(pending.evidence);
    pending.done(outcome);
}

void OriginExchange::expire()
{
    const TimePoint now = this->clock.now();
    this->repeatRecords();
    if (this->flushDue && *this->flushDue <= now) {
        this->flush();
    }
    std::vector<std::int64_t> late;
    for (const auto &[ticket, pending] : this->pendingFinds) {
        if (pending.due <= now) {
            late.push_back(ticket);
        }
    }
    for (const std::int64_t ticket : late) {
        this->advance(ticket);
    }
}

void OriginExchange::receiveAsk(const VmId &vm, const wire::OriginAsk &ask)
{
    const auto key = static_cast<StreamKey>(ask.key);
    wire::OriginAnswer answer;
    if (const auto other = this->answerOther ? this->answerOther(key) : std::nullopt) {
        answer = *other;
    } else {
        const std::string *remembered = this->known(key);
        answer.known = remembered != nullptr;
        answer.softwareVersion = remembered == nullptr ? std::string() : *remembered;
        answer.collectedMilliseconds = toMilliseconds(this->collected());
    }
    answer.ticket = ask.ticket;
    this->ports.answer(vm, answer);
}

void OriginExchange::receiveAnswer(const VmId &vm, const wire::OriginAnswer &answer)
{
    const auto found = this->pendingFinds.find(answer.ticket);
    if (found == this->pendingFinds.end()) {
        return;
    }
    PendingFind &pending = found->second;
    const auto asked = pending.unanswered.find(vm);
    if (asked == pending.unanswered.end()) {
        return;
    }
    const std::size_t zone = asked->second;
    pending.unanswered.erase(asked);
    if (answer.known) {
        pending.evidence.recorded = answer.softwareVersion;
        pending.evidence.recordSource = zone == ownZone ? "holder" : "asked";
        this->finish(answer.ticket);
        return;
    }
    if (pending.proving.contains(vm)) {
        pending.evidence.denials[zone].collected.push_back(milliseconds(answer.collectedMilliseconds));
    }
    this->advance(answer.ticket);
}

} // namespace lacewing
