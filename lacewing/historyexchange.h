// Asks other VMs what happened while this VM did not watch, and answers their asks.
//
//   HistoryExchange history(clock, ports, firstTicket);
//   history.begin();   // at the start, after a standstill, after a gap in the reads of the list
//
// A VM that starts, stands still, or whose calls to the platform's store are held up sees the state of now, not what
// came and went before it. Any VM that has watched meanwhile knows, in any zone, as all of them follow the same store.
// VMs of one zone often miss the same time, since they start, stand still or lose the store together. So each round
// asks some VMs of the own zone and one VM of each of some other zones.
//
// Load pattern: all VMs of a zone miss the same seconds, and ask within the same moment. A round is a few datagrams to
// VMs chosen at random, and the rounds end once nothing more is to be learned: usually after one round trip.
//
// Opens no socket and starts no timer: datagrams and wake-ups go through the ports.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "lacewing_types.h"
#include "originexchange.h"
#include "types.h"

namespace lacewing {

class RuntimeClock;

/// VMs of the own zone that are asked in each round.
constexpr std::size_t historyZoneAsks = 2;
/// Other zones of which a VM is asked in each round.
constexpr std::size_t historyFarAsks = 4;
constexpr int historyRounds = 5;
constexpr Duration historyRoundInterval = milliseconds(200);
/// An answer to an older ask is dropped: it may have waited while this VM stood still, and tells nothing of that time.
constexpr Duration historyAnswerLifetime = milliseconds(500);

struct HistoryPorts {
    std::function<std::vector<OriginVm>()> zoneVms; ///< other VMs of the zone
    std::function<std::vector<OriginVm>()> otherZonesVms;
    std::function<void(const VmId &, const wire::HistoryAsk &)> ask;
    std::function<void(const VmId &, const wire::HistoryAnswer &)> answer;
    std::function<wire::HistoryAnswer()> describe; ///< what this VM knows; the ticket is filled in
    std::function<void(const VmId &, const wire::HistoryAnswer &, TimePoint asked)> learn;
    std::function<bool()> isSettled; ///< whether there is nothing more to learn
    std::function<void(Duration)> wakeAfter; ///< expire() is to be called after this time
};

/// Since the start, for the metrics page.
struct HistoryCounts {
    std::int64_t asked = 0;
    std::int64_t answered = 0;
    std::int64_t late = 0; ///< answers that were dropped
};

/// @param zone other VMs of the own zone
/// @param others VMs of other zones
/// @param random source of the choice
/// @return VMs to ask in one round, among those that can be expected to answer
std::vector<VmId> chooseHistoryVms(std::vector<OriginVm> zone, std::vector<OriginVm> others, std::mt19937_64 &random);

class HistoryExchange
{
public:
    /// @param runtimeClock source of all times
    /// @param exchangePorts what carries out what is decided here
    /// @param firstTicket differs between the processes of a VM, so that late answers match no ask
    HistoryExchange(const RuntimeClock &runtimeClock, HistoryPorts exchangePorts, std::int64_t firstTicket);

    /// Asks anew: a time that was not watched has just ended. Rounds begin once another VM is known.
    void begin();
    /// Begins the first round now if it waits for another VM to be known.
    void vmsKnown();
    /// @return whether other VMs may still tell something
    bool isAsking() const;
    /// @return whether another VM has answered since the asks began
    bool isAnswered() const;
    /// Begins the next round, if it is due.
    void expire();

    void receiveAsk(const VmId &vm, const wire::HistoryAsk &ask);
    void receiveAnswer(const VmId &vm, const wire::HistoryAnswer &answer);

    HistoryCounts counts;

private:
    struct OpenAsk {
        VmId vm;
        TimePoint asked;
    };

    std::vector<VmId> vmsToAsk();
    void askRound();
    void wakeAt(TimePoint time);

    const RuntimeClock &clock;
    HistoryPorts ports;
    std::mt19937_64 random;
    std::int64_t lastTicket;
    std::map<std::int64_t, OpenAsk> openAsks;
    bool active = false;
    bool answered = false;
    int rounds = 0; ///< in which VMs were asked
    std::optional<TimePoint> nextRound;
};

} // namespace lacewing
