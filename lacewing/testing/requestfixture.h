// One VM's core with two endpoints owned by another VM, for tests of the entry side.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "blackboard.h"
#include "entrycontroller.h"
#include "step.h"

namespace lacewing::testing {

struct RequestFixture {
    Blackboard blackboard;
    TimePoint now {milliseconds(1000000)};
    std::vector<OfferAttempt> offers;
    std::vector<CancelOffer> cancels;
    std::vector<FinishRequest> finishes;
    std::vector<KeyMinted> minted;
    std::vector<wire::LogRecord> appends;
    std::vector<SendPeer> sent;
    std::map<Counter, std::int64_t> counts;
    std::int64_t nextRequest = 1;

    RequestFixture();

    /// Gives both endpoints to the other VM.
    void ownEndpoints();

    /// Steps the core and keeps its actions.
    /// @param event what happened
    void send(const Event &event);

    /// @param arrival request; its id is set, and its deadline if it has none
    /// @return its id
    RequestId arrive(RequestArrived arrival);

    /// The owner takes the last offer.
    void accept();

    /// Data of the last offer comes.
    /// @param position next position
    void progress(std::int64_t position);

    /// The last offer ends.
    /// @param outcome how
    /// @param code why
    /// @param position reached
    void end(AttemptOutcome outcome, ResultCode code, std::int64_t position);

    /// Lets time pass, with ticks.
    /// @param span how long
    void advance(Duration span);

    /// @param request that ended
    /// @return its outcome; fails the test if it has none
    RequestOutcome outcomeOf(const RequestId &request) const;

    /// @param request that ended
    /// @return its code; fails the test if it has none
    ResultCode codeOf(const RequestId &request) const;

    /// @param counter which
    /// @return how often it was counted
    std::int64_t count(Counter counter) const;
};

} // namespace lacewing::testing
