// An ask and its answer are matched by a ticket, and a read by its start, so that neither a datagram nor an answer of
// the store that was held up counts for a question that came later.

#include "listconfirmation.h"

#include <algorithm>
#include <utility>

#include "clock.h"

namespace lacewing {

namespace {

/// The owner's read takes some ten milliseconds, and the turn of a VM that has a small part of a core.
constexpr Duration askTimeout = milliseconds(100);
/// A read that the store answers takes some milliseconds; a caller gives up on a stream that pauses for seconds.
constexpr Duration readTimeout = milliseconds(400);
/// A read that is in progress when it is asked for may have begun too early; another one begins after it.
constexpr Duration readRetryInterval = milliseconds(50);
/// Asks of this time share a read of the owner.
constexpr Duration batchTime = milliseconds(10);
/// Asks that an owner keeps; a VM has one at a time.
constexpr std::size_t maxWaiting = 1024;

} // namespace

ListConfirmation::ListConfirmation(const RuntimeClock &runtimeClock, ListConfirmationPorts confirmationPorts,
                                   std::int64_t firstTicket)
    : clock(runtimeClock), ports(std::move(confirmationPorts)), lastTicket(firstTicket)
{
}

void ListConfirmation::confirm(Done done)
{
    this->next.push_back(std::move(done));
    if (!this->round) {
        this->startRound();
    }
}

void ListConfirmation::wakeAt(TimePoint time)
{
    if (!this->nextWake || time < *this->nextWake) {
        this->nextWake = time;
        this->ports.wakeAfter(time - this->clock.now());
    }
}

void ListConfirmation::startRound()
{
    const TimePoint now = this->clock.now();
    this->round = Round {};
    this->round->ticket = ++this->lastTicket;
    this->round->begun = now;
    this->round->questions = std::exchange(this->next, {});
    this->round->asked = this->ports.owner();
    if (!this->round->asked) {
        this->readOwn();
        return;
    }
    this->round->due = now + askTimeout;
    wire::ListAsk ask;
    ask.ticket = this->round->ticket;
    this->ports.ask(*this->round->asked, ask);
    this->wakeAt(this->round->due);
}

void ListConfirmation::readOwn()
{
    this->round->asked.reset();
    this->round->due = this->clock.now() + readTimeout;
    if (!this->ports.mayRead()) {
        this->finish(false);
        return;
    }
    this->ports.read();
    this->wakeAt(this->clock.now() + readRetryInterval);
}

void ListConfirmation::finish(bool confirmed)
{
    const Round finished = std::move(*this->round);
    this->round.reset();
    std::int64_t &count = !confirmed ? this->counts.failed
        : finished.asked             ? this->counts.byOwner
                                     : this->counts.byOwnRead;
    count += static_cast<std::int64_t>(finished.questions.size());
    for (const Done &done : finished.questions) {
        done(confirmed);
    }
    if (!this->next.empty() && !this->round) {
        this->startRound();
    }
}

void ListConfirmation::listRead(TimePoint begun)
{
    this->answerWaiting(begun);
    if (!this->round) {
        return;
    }
    if (begun >= this->round->begun) {
        this->finish(true);
    } else if (!this->round->asked) {
        this->ports.read();
    }
}

void ListConfirmation::receiveAsk(const VmId &vm, const wire::ListAsk &ask)
{
    if (!this->ports.mayRead() || this->waiting.size() >= maxWaiting) {
        wire::ListAnswer refusal;
        refusal.ticket = ask.ticket;
        refusal.current = false;
        this->ports.answer(vm, refusal);
        return;
    }
    const TimePoint now = this->clock.now();
    this->waiting.push_back({vm, ask.ticket, now});
    if (!this->readDue) {
        this->readDue = now + batchTime;
        this->wakeAt(*this->readDue);
    }
}

void ListConfirmation::answerWaiting(TimePoint begun)
{
    const auto isAnswered = [begun](const WaitingVm &one) { return begun >= one.askedAt; };
    const StorePosition end = this->ports.position();
    for (const WaitingVm &one : this->waiting) {
        if (isAnswered(one)) {
            wire::ListAnswer answer;
            answer.ticket = one.ticket;
            answer.current = true;
            answer.offset = end.offset;
            answer.era = end.era;
            this->ports.answer(one.vm, answer);
        }
    }
    std::erase_if(this->waiting, isAnswered);
    if (!this->waiting.empty() && !this->readDue) {
        this->readForWaiting();
    }
}

void ListConfirmation::readForWaiting()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->waiting, [now](const WaitingVm &one) { return now - one.askedAt >= askTimeout; });
    if (!this->waiting.empty()) {
        this->ports.read();
    }
}

void ListConfirmation::receiveAnswer(const VmId &vm, const wire::ListAnswer &answer)
{
    if (!this->round || this->round->asked != vm || this->round->ticket != answer.ticket) {
        return;
    }
    if (answer.current && this->ports.position() >= StorePosition {answer.era, answer.offset}) {
        this->finish(true);
    } else { // a change that the owner has read was missed here
        this->readOwn();
    }
}

void ListConfirmation::expire()
{
    const TimePoint now = this->clock.now();
    if (this->nextWake && *this->nextWake <= now) {
        this->nextWake.reset();
    }
    if (this->readDue && *this->readDue <= now) {
        this->readDue.reset();
        this->readForWaiting();
    } else if (this->readDue) {
        this->wakeAt(*this->readDue);
    }
    if (this->round && this->round->asked) {
        this->expireAsk();
    } else if (this->round) {
        this->expireRead();
    }
}

void ListConfirmation::expireAsk()
{
    if (this->round->due <= this->clock.now()) {
        this->readOwn();
    } else {
        this->wakeAt(this->round->due);
    }
}

void ListConfirmation::expireRead()
{
    const TimePoint now = this->clock.now();
    if (this->round->due <= now || !this->ports.mayRead()) {
        this->finish(false);
        return;
    }
    this->ports.read();
    this->wakeAt(now + readRetryInterval);
}

} // namespace lacewing
