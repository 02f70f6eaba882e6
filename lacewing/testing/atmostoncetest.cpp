// The outcomes of keyed requests against a naive version: one list, searched from the front, no log, no other VM.

#include <cstdlib>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "requestfixture.h"

using namespace lacewing;
using namespace lacewing::testing;

namespace {

/// One send of a key and the ends of the attempts it is given, should it run.
struct Send {
    std::size_t key = 0;
    std::vector<AttemptOutcome> ends;
};

struct Told {
    RequestOutcome outcome = RequestOutcome::Unknown;
    int runs = 0; ///< attempts that were not proved not to have run
    bool operator==(const Told &) const = default;
};

/// As plain as it can be: a list of settled keys.
struct NaiveKeys {
    std::vector<std::pair<std::size_t, RequestOutcome>> settled;

    Told send(const Send &send)
    {
        for (const auto &[key, outcome] : this->settled) {
            if (key == send.key) {
                return {outcome, 0};
            }
        }
        for (const AttemptOutcome end : send.ends) {
            if (end != AttemptOutcome::NotRun) {
                const RequestOutcome outcome = end == AttemptOutcome::Completed ? RequestOutcome::Answered
                    : end == AttemptOutcome::Failed                             ? RequestOutcome::Failed
                                                                                : RequestOutcome::Unknown;
                this->settled.emplace_back(send.key, outcome);
                return {outcome, 1};
            }
        }
        return {RequestOutcome::NotRun, 0};
    }
};

/// The real core: the deadline ends a send whose attempts are all refused.
Told sendToCore(RequestFixture &fixture, const std::string &key, const Send &send)
{
    RequestArrived arrival;
    arrival.repeatable = false;
    arrival.key = key;
    arrival.deadline = fixture.now + milliseconds(20000);
    const std::size_t finished = fixture.finishes.size();
    const std::size_t offered = fixture.offers.size();
    if (send.ends.empty()) {
        fixture.blackboard.claims.current.clear(); // no endpoint: it waits until it is given up
    }
    fixture.arrive(arrival);
    int runs = 0;
    for (std::size_t index = 0; index < send.ends.size() && fixture.finishes.size() == finished; ++index) {
        for (int wait = 0; wait < 40 && fixture.offers.size() == offered + index; ++wait) {
            fixture.advance(milliseconds(50));
        }
        if (fixture.offers.size() != offered + index + 1) {
            break;
        }
        if (index + 1 == send.ends.size()) {
            fixture.blackboard.claims.current.clear();
        }
        runs += send.ends[index] == AttemptOutcome::NotRun ? 0 : 1;
        fixture.end(send.ends[index], ResultCode::NotOwner, 0);
    }
    if (fixture.finishes.size() == finished) {
        fixture.advance(milliseconds(20000));
    }
    fixture.ownEndpoints();
    return {fixture.finishes.back().outcome, runs};
}

} // namespace

Test(atMostOnce, outcomesAreThoseOfTheNaiveVersion)
{
    setenv("RC_PARAMS", "seed=1", 0);
    const bool same = rc::check("outcomes and runs", [] {
        constexpr std::size_t keyCount = 3;
        RequestFixture fixture;
        NaiveKeys naive;
        std::vector<std::string> keys;
        for (std::size_t index = 0; index < keyCount; ++index) {
            fixture.send(KeyRequested {static_cast<std::int64_t>(index), "tala"});
            keys.push_back(fixture.minted.back().key);
        }
        const int sends = *rc::gen::inRange(1, 8);
        for (int index = 0; index < sends; ++index) {
            Send send;
            send.key = *rc::gen::inRange<std::size_t>(0, keyCount);
            send.ends = *rc::gen::resize(3,
                                         rc::gen::container<std::vector<AttemptOutcome>>(rc::gen::element(
                                             AttemptOutcome::Completed, AttemptOutcome::NotRun, AttemptOutcome::NotRun,
                                             AttemptOutcome::Unknown, AttemptOutcome::Broken, AttemptOutcome::Failed)));
            RC_ASSERT(sendToCore(fixture, keys[send.key], send) == naive.send(send));
        }
    });
    cr_assert(same);
}
