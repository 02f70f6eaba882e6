// Confirms that this VM's copy of the platform's list of endpoints has all that was listed when the question came.
//
//   ListConfirmation confirmation(clock, ports, firstTicket);
//   confirmation.confirm([](bool confirmed) { ... });
//
// A VM that stands still, is cut off or whose calls to the store are held up hears of no change, and can't tell this
// from a time without changes. So a conclusion from what is not listed needs a read that was begun after the question
// came: the age of the copy leaves out what others have learned since. The placement owner of the zone has read the
// list last, so that a read of its own brings few records: it is asked to read. A VM whose owner does not answer in
// time reads by itself.
//
// Load pattern: streams break off in bursts, and their callers take them up within moments. Questions that come while a
// read is in progress share the next one, so a VM has one ask or read in progress at most, and an owner makes one read
// for all VMs of its zone that ask within batchTime.
//
// Opens no socket and starts no timer: datagrams, reads and wake-ups go through the ports.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "lacewing_types.h"
#include "storeposition.h"
#include "types.h"

namespace lacewing {

class RuntimeClock;

struct ListConfirmationPorts {
    std::function<std::optional<VmId>()> owner; ///< another VM that owns the zone and is heard
    std::function<bool()> mayRead; ///< whether the store has answered the latest call
    std::function<void()> read; ///< begins a read of the list, unless one is in progress
    std::function<StorePosition()> position; ///< up to which this VM knows the list
    std::function<void(const VmId &, const wire::ListAsk &)> ask;
    std::function<void(const VmId &, const wire::ListAnswer &)> answer;
    std::function<void(Duration)> wakeAfter; ///< expire() is to be called after this time
};

/// Questions by their result, since the start.
struct ListConfirmationCounts {
    std::int64_t byOwner = 0;
    std::int64_t byOwnRead = 0;
    std::int64_t failed = 0;
};

class ListConfirmation
{
public:
    using Done = std::function<void(bool confirmed)>;

    /// @param runtimeClock source of all times
    /// @param confirmationPorts what carries out what is decided here
    /// @param firstTicket differs between the processes of a VM, so that late answers match no ask
    ListConfirmation(const RuntimeClock &runtimeClock, ListConfirmationPorts confirmationPorts,
                     std::int64_t firstTicket);

    /// @param done called once, with whether the copy has all that was listed by now
    void confirm(Done done);
    /// Called when all changes of a read of the list have been applied.
    /// @param begun when the read was started
    void listRead(TimePoint begun);
    void receiveAsk(const VmId &vm, const wire::ListAsk &ask);
    void receiveAnswer(const VmId &vm, const wire::ListAnswer &answer);
    /// Continues with what was not answered in time.
    void expire();

    ListConfirmationCounts counts;

private:
    /// Questions that one read answers.
    struct Round {
        std::int64_t ticket = 0;
        TimePoint begun;
        TimePoint due;
        std::optional<VmId> asked; ///< owner; nothing: this VM reads by itself
        std::vector<Done> questions;
    };

    /// Another VM that waits for a read of this one.
    struct WaitingVm {
        VmId vm;
        std::int64_t ticket = 0;
        TimePoint askedAt;
    };

    void wakeAt(TimePoint time);
    void startRound();
    void readOwn();
    void expireAsk();
    void expireRead();
    void finish(bool confirmed);
    void answerWaiting(TimePoint begun);
    void readForWaiting();

    const RuntimeClock &clock;
    ListConfirmationPorts ports;
    std::int64_t lastTicket;
    std::optional<Round> round;
    std::vector<Done> next; ///< questions of the next round
    std::vector<WaitingVm> waiting;
    std::optional<TimePoint> readDue; ///< for the VMs that wait
    std::optional<TimePoint> nextWake; ///< when expire() is called
};

} // namespace lacewing
