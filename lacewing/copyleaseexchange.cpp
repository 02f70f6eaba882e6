// An answer counts only for the copy that is asking; a lease that is granted to a copy that was given up meanwhile is
// ended at once. A renewal goes to all grantors of the request: one that did not answer the ask, or that has become the
// first since, would otherwise grant the lease to a second copy.

#include "copyleaseexchange.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "rendezvous.h"

namespace lacewing {

namespace {

/// An answer takes a round trip, and the turn of a VM that has a small part of a core.
constexpr Duration grantorTimeout = milliseconds(40);
/// A grantor that does not answer is asked again: if one lost datagram led to the next grantor, both might grant.
constexpr std::size_t asksPerGrantor = 3;
/// A copy that waits for another one asks again at this interval.
constexpr Duration copyPollInterval = milliseconds(50);
/// Several renewals within the time of the lease, as datagrams are lost.
constexpr Duration renewalInterval = copyLeaseTime / 4;

/// @param asks sent for a copy
/// @return number of grantors that got them
std::size_t grantorsAsked(std::size_t asks)
{
    return (asks + asksPerGrantor - 1) / asksPerGrantor;
}

} // namespace

CopyLeaseExchange::CopyLeaseExchange(const RuntimeClock &runtimeClock, CopyLeaseSettings exchangeSettings,
                                     CopyLeasePorts exchangePorts)
    : clock(runtimeClock), settings(std::move(exchangeSettings)), ports(std::move(exchangePorts))
{
    this->lastTicket = this->settings.firstTicket;
}

std::vector<VmId> CopyLeaseExchange::grantorsOf(RequestDigest digest) const
{
    std::vector<VmId> vms = this->ports.vms();
    vms.push_back(this->settings.vm);
    std::vector<std::pair<std::uint64_t, VmId>> ranked;
    ranked.reserve(vms.size());
    for (VmId &vm : vms) {
        const std::uint64_t score = rendezvousScore(digest, vm);
        ranked.emplace_back(score, std::move(vm));
    }
    const std::size_t count = std::min(ranked.size(), maxGrantorsAsked);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<VmId> grantors;
    for (std::size_t index = 0; index < count; ++index) {
        grantors.push_back(std::move(ranked[index].second));
    }
    return grantors;
}

CopyTicket CopyLeaseExchange::acquire(RequestDigest digest, std::function<void()> onGranted)
{
    const CopyTicket ticket = ++this->lastTicket;
    this->digests[ticket] = digest;
    LocalCopies &copies = this->local[digest];
    copies.queue.push_back({ticket, std::move(onGranted)});
    if (copies.queue.size() == 1) {
        this->startAsking(digest);
    }
    return ticket;
}

void CopyLeaseExchange::startAsking(RequestDigest digest)
{
    LocalCopies &copies = this->local.at(digest);
    copies.held = false;
    copies.refused = false;
    copies.asked = 0;
    copies.grantors = this->grantorsOf(digest);
    this->askNext(digest);
}

void CopyLeaseExchange::askNext(RequestDigest digest)
{
    LocalCopies &copies = this->local.at(digest);
    if (copies.asked >= copies.grantors.size() * asksPerGrantor) {
        this->counts.withoutLease += 1;
        this->grant(digest);
        return;
    }
    const VmId grantor = copies.grantors[copies.asked / asksPerGrantor];
    const CopyTicket ticket = copies.queue.front().ticket;
    copies.asked += 1;
    this->setDue(copies, grantorTimeout);
    if (grantor != this->settings.vm) {
        this->sendAsk(grantor, digest, ticket);
        return;
    }
    const CopyLeaseDecision decision
        = askCopyLease(this->granted, digest, {this->settings.vm, ticket}, this->clock.now());
    this->onDecision(digest, ticket, decision);
}

void CopyLeaseExchange::onDecision(RequestDigest digest, CopyTicket ticket, const CopyLeaseDecision &decision)
{
    const auto found = this->local.find(digest);
    const bool asks = found != this->local.end() && found->second.queue.front().ticket == ticket;
    if (!asks || found->second.held) {
        return;
    }
    if (decision.granted) {
        this->counts.acquired += 1;
        this->grant(digest);
        return;
    }
    this->counts.refused += 1;
    found->second.refused = true;
    this->setDue(found->second, std::min(decision.wait, copyPollInterval));
}

void CopyLeaseExchange::grant(RequestDigest digest)
{
    LocalCopies &copies = this->local.at(digest);
    copies.held = true;
    copies.grantors.resize(grantorsAsked(copies.asked)); // the others know nothing to end
    this->setDue(copies, renewalInterval);
    if (const auto onGranted = std::exchange(copies.queue.front().onGranted, nullptr)) {
        onGranted(); // may release the lease
    }
}

void CopyLeaseExchange::release(CopyTicket ticket, bool unsettled)
{
    const auto digestFound = this->digests.find(ticket);
    if (digestFound == this->digests.end()) {
        return;
    }
    const RequestDigest digest = digestFound->second;
    this->digests.erase(digestFound);
    LocalCopies &copies = this->local.at(digest);
    const bool first = copies.queue.front().ticket == ticket;
    std::erase_if(copies.queue, [ticket](const Copy &copy) { return copy.ticket == ticket; });
    if (!first) {
        return;
    }
    this->sendEnd(copies.grantors, digest, ticket, unsettled);
    if (copies.queue.empty()) {
        this->local.erase(digest);
        return;
    }
    this->startAsking(digest);
}

void CopyLeaseExchange::sendEnd(const std::vector<VmId> &grantors, RequestDigest digest, CopyTicket ticket,
                                bool unsettled)
{
    wire::CopyLeaseAsk ask;
    ask.digest = static_cast<std::int64_t>(digest);
    ask.ticket = ticket;
    ask.ended = true;
    ask.broken = unsettled;
    for (const VmId &grantor : grantors) {
        if (grantor == this->settings.vm) {
            endCopyLease(this->granted, digest, {grantor, ticket}, unsettled, this->clock.now());
        } else {
            this->ports.ask(grantor, ask);
        }
    }
}

void CopyLeaseExchange::sendAsk(const VmId &grantor, RequestDigest digest, CopyTicket ticket)
{
    wire::CopyLeaseAsk ask;
    ask.digest = static_cast<std::int64_t>(digest);
    ask.ticket = ticket;
    this->ports.ask(grantor, ask);
}

void CopyLeaseExchange::renew(RequestDigest digest, LocalCopies &copies)
{
    const CopyTicket ticket = copies.queue.front().ticket;
    copies.grantors = this->grantorsOf(digest);
    for (const VmId &grantor : copies.grantors) {
        if (grantor == this->settings.vm) {
            askCopyLease(this->granted, digest, {grantor, ticket}, this->clock.now());
        } else {
            this->sendAsk(grantor, digest, ticket);
        }
    }
    this->setDue(copies, renewalInterval);
}

void CopyLeaseExchange::expire()
{
    const TimePoint now = this->clock.now();
    std::vector<RequestDigest> due;
    for (const auto &[digest, copies] : this->local) {
        if (copies.due <= now) {
            due.push_back(digest);
        }
    }
    for (const RequestDigest digest : due) {
        const auto found = this->local.find(digest); // a copy that is sent may release another one
        if (found == this->local.end() || found->second.due > now) {
            continue;
        }
        if (found->second.held) {
            this->renew(digest, found->second);
        } else if (found->second.refused) {
            this->startAsking(digest);
        } else {
            this->askNext(digest);
        }
    }
}

void CopyLeaseExchange::receiveAsk(const VmId &vm, const wire::CopyLeaseAsk &ask)
{
    const auto digest = static_cast<RequestDigest>(ask.digest);
    const CopyId copy {vm, ask.ticket};
    const TimePoint now = this->clock.now();
    if (ask.ended) {
        endCopyLease(this->granted, digest, copy, ask.broken, now);
        return;
    }
    const CopyLeaseDecision decision = askCopyLease(this->granted, digest, copy, now);
    wire::CopyLeaseAnswer answer;
    answer.digest = ask.digest;
    answer.ticket = ask.ticket;
    answer.granted = decision.granted;
    answer.waitMilliseconds = static_cast<std::int32_t>(toMilliseconds(decision.wait));
    this->ports.answer(vm, answer);
}

void CopyLeaseExchange::receiveAnswer(const VmId &vm, const wire::CopyLeaseAnswer &answer)
{
    const auto digest = static_cast<RequestDigest>(answer.digest);
    if (answer.granted && !this->digests.contains(answer.ticket)) {
        this->sendEnd({vm}, digest, answer.ticket, false);
        return;
    }
    const Duration wait = milliseconds(std::max(1, answer.waitMilliseconds));
    this->onDecision(digest, answer.ticket, {answer.granted, wait});
}

void CopyLeaseExchange::setDue(LocalCopies &copies, Duration delay)
{
    copies.due = this->clock.now() + delay;
    this->ports.wakeAfter(delay);
}

} // namespace lacewing
