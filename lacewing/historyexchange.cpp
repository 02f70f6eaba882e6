// A round that finds no VM to ask does not count: a VM that has just started learns of the others some milliseconds
// later.

#include "historyexchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "clock.h"

namespace lacewing {

std::vector<VmId> chooseHistoryVms(std::vector<OriginVm> zone, std::vector<OriginVm> others, std::mt19937_64 &random)
{
    std::shuffle(zone.begin(), zone.end(), random);
    std::shuffle(others.begin(), others.end(), random);
    std::vector<VmId> chosen;
    for (const OriginVm &one : zone) {
        if (one.usable && chosen.size() < historyZoneAsks) {
            chosen.push_back(one.vm);
        }
    }
    std::set<ZoneName> zones;
    for (const OriginVm &one : others) {
        if (one.usable && zones.size() < historyFarAsks && zones.insert(one.zone).second) {
            chosen.push_back(one.vm);
        }
    }
    return chosen;
}

HistoryExchange::HistoryExchange(const RuntimeClock &runtimeClock, HistoryPorts exchangePorts, std::int64_t firstTicket)
    : clock(runtimeClock),
      ports(std::move(exchangePorts)),
      random(static_cast<std::uint64_t>(firstTicket)),
      lastTicket(firstTicket)
{
}

void HistoryExchange::begin()
{
    this->active = true;
    this->answered = false;
    this->rounds = 0;
    this->openAsks.clear();
    this->askRound();
}

void HistoryExchange::vmsKnown()
{
    if (this->active && this->rounds == 0) {
        this->askRound();
    }
}

bool HistoryExchange::isAsking() const
{
    const auto anyUsable = [](const std::vector<OriginVm> &vms) {
        return std::any_of(vms.begin(), vms.end(), [](const OriginVm &one) { return one.usable; });
    };
    return this->active && (anyUsable(this->ports.zoneVms()) || anyUsable(this->ports.otherZonesVms()));
}

bool HistoryExchange::isAnswered() const
{
    return this->answered;
}

std::vector<VmId> HistoryExchange::vmsToAsk()
{
    return chooseHistoryVms(this->ports.zoneVms(), this->ports.otherZonesVms(), this->random);
}

void HistoryExchange::askRound()
{
    if (this->rounds >= historyRounds || this->ports.isSettled()) {
        this->active = false;
        return;
    }
    const TimePoint now = this->clock.now();
    std::erase_if(this->openAsks,
                  [now](const auto &entry) { return now - entry.second.asked >= historyAnswerLifetime; });
    const std::vector<VmId> vms = this->vmsToAsk();
    this->rounds += vms.empty() ? 0 : 1;
    for (const VmId &vm : vms) {
        wire::HistoryAsk ask;
        ask.ticket = ++this->lastTicket;
        this->openAsks[ask.ticket] = {vm, now};
        this->counts.asked += 1;
        this->ports.ask(vm, ask);
    }
    this->wakeAt(now + historyRoundInterval);
}

void HistoryExchange::wakeAt(TimePoint time)
{
    const bool scheduled = this->nextRound.has_value();
    this->nextRound = time;
    if (!scheduled) {
        this->ports.wakeAfter(time - this->clock.now());
    }
}

void HistoryExchange::expire()
{
    if (!this->nextRound) {
        return;
    }
    const TimePoint due = *this->nextRound;
    this->nextRound.reset();
    if (due > this->clock.now()) { // begin() has put the round off
        this->wakeAt(due);
    } else if (this->active) {
        this->askRound();
    }
}

void HistoryExchange::receiveAsk(const VmId &vm, const wire::HistoryAsk &ask)
{
    wire::HistoryAnswer answer = this->ports.describe();
    answer.ticket = ask.ticket;
    this->ports.answer(vm, answer);
}

void HistoryExchange::receiveAnswer(const VmId &vm, const wire::HistoryAnswer &answer)
{
    const auto open = this->openAsks.find(answer.ticket);
    if (open == this->openAsks.end() || open->second.vm != vm) {
        return;
    }
    const TimePoint asked = open->second.asked;
    this->openAsks.erase(open);
    if (this->clock.now() - asked >= historyAnswerLifetime) {
        this->counts.late += 1;
        return;
    }
    this->answered = true;
    this->counts.answered += 1;
    this->ports.learn(vm, answer, asked);
}

} // namespace lacewing
