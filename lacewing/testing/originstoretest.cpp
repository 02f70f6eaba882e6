// Records of streams that have begun, on their way to the platform's store.

#include "originstore.h"

#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "lacewing_types.h"

using namespace lacewing;

namespace {

constexpr Duration life = milliseconds(30000);
constexpr StreamKey largeFactor = 0x9e3779b97f4a7c15; ///< odd, so that all keys differ

/// A store whose calls are answered when the test says so.
struct Calls {
    OriginStorePorts ports()
    {
        OriginStorePorts made;
        made.append = [this](std::string record, std::function<void(bool)> done) {
            this->records.push_back(std::move(record));
            this->pending = std::move(done);
        };
        made.wakeAfter = [this](Duration delay) { this->wakes.push_back(delay); };
        made.vmsInUse = [this] { return this->vms; };
        return made;
    }

    void answer(bool done)
    {
        std::exchange(this->pending, nullptr)(done);
    }

    std::size_t streamsIn(std::size_t call) const
    {
        const auto streams = decodeOrigins(this->records.at(call));
        cr_assert(streams.has_value());
        return streams->keys.size();
    }

    std::size_t vms = 6;
    std::vector<std::string> records;
    std::vector<Duration> wakes;
    std::function<void(bool)> pending;
};

} // namespace

Test(originstore, theStreamsOfAnIntervalAreStoredWithOneCall)
{
    Calls calls;
    OriginStore store(calls.ports());
    store.add(1, "a", life);
    store.add(2, "b", life);
    cr_assert_eq(calls.wakes.size(), 1);
    store.flush();
    cr_assert_eq(calls.records.size(), 1);
    const auto streams = decodeOrigins(calls.records.front());
    cr_assert(streams.has_value());
    cr_assert_eq(streams->keys.size(), 2);
    cr_expect_eq(streams->versionNames.at(static_cast<std::size_t>(streams->versions.at(1))), "b");
    calls.answer(true);
    store.flush();
    cr_expect_eq(calls.records.size(), 1, "nothing is stored twice");
    cr_expect_eq(store.stored, 2);
}

Test(originstore, whatIsNotCertainToBeStoredIsStoredAgainWithWhatHasCome)
{
    Calls calls;
    OriginStore store(calls.ports());
    store.add(1, "a", life);
    store.flush();
    store.add(2, "a", life);
    store.flush();
    cr_assert_eq(calls.records.size(), 1, "one call at a time");
    calls.answer(false);
    store.flush();
    cr_assert_eq(calls.records.size(), 2);
    cr_expect_eq(calls.streamsIn(1), 2);
    calls.answer(true);
    cr_expect_eq(store.stored, 2);
}

Test(originstore, aBurstIsStoredInSeveralCallsAndAnEndlessOneNotKept)
{
    Calls calls;
    OriginStore store(calls.ports());
    for (StreamKey key = 0; key < maxRememberedStreams + 10; ++key) {
        store.add(key * largeFactor, "a", life);
    }
    cr_expect_eq(store.dropped, 10);
    store.flush();
    cr_expect_eq(calls.streamsIn(0), maxOriginsInCall);
    cr_expect_lt(calls.records.front().size(), 16 * maxOriginsInCall);
    calls.answer(true);
    store.flush();
    cr_expect_eq(calls.streamsIn(1), maxOriginsInCall);
}

Test(originstore, theCallsOfAllVmsTogetherAreBounded)
{
    for (const std::size_t vms : {1, 6, 58, 86, 195, 590}) {
        const double interval = std::chrono::duration<double>(originInterval(vms)).count();
        cr_expect_leq(static_cast<double>(vms) / interval, static_cast<double>(originCallsPerSecond), "%zu VMs", vms);
        cr_expect_geq(originInterval(vms), minOriginInterval);
    }
}

Test(originstore, whatAnotherWriterLeftIsNoRecord)
{
    cr_expect_not(decodeOrigins("").has_value());
    cr_expect_not(decodeOrigins(std::string(1000, '\xff')).has_value());
    cr_expect_not(decodeOrigins("{\"keys\":[]}").has_value());
}
