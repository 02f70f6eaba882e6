// Records of streams that have begun, on their way to the platform's store.

#include "originstore.h"

#include <optional>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "lacewing_types.h"

using namespace lacewing;

namespace {

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
        made.send = [this](const VmId &vm, const wire::OriginRecords &told) { this->sent.emplace_back(vm, told); };
        made.storer = [this] { return this->storer; };
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
    std::optional<VmId> storer = "own";
    std::vector<std::pair<VmId, wire::OriginRecords>> sent;
    std::vector<std::string> records;
    std::vector<Duration> wakes;
    std::function<void(bool)> pending;
};

} // namespace

Test(originstore, theStreamsOfAnIntervalAreStoredWithOneCall)
{
    Calls calls;
    OriginStore store("own", calls.ports());
    store.add(1, "a");
    store.add(2, "b");
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
    OriginStore store("own", calls.ports());
    store.add(1, "a");
    store.flush();
    store.add(2, "a");
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
    OriginStore store("own", calls.ports());
    for (StreamKey key = 0; key < maxRememberedStreams + 10; ++key) {
        store.add(key * largeFactor, "a");
    }
    cr_expect_eq(store.dropped, 10);
    store.flush();
    cr_expect_eq(calls.streamsIn(0), maxOriginsInCall);
    cr_expect_lt(calls.records.front().size(), 16 * maxOriginsInCall);
    calls.answer(true);
    store.flush();
    cr_expect_eq(calls.streamsIn(1), maxOriginsInCall);
}

Test(originstore, theVmThatStoresForTheZoneGetsTheStreamsOfTheOthers)
{
    Calls others;
    others.storer = "storing";
    OriginStore other("other", others.ports());
    for (StreamKey key = 1; key <= maxOriginsInDatagram + 1; ++key) {
        other.add(key * largeFactor, key % 2 == 0 ? "a" : "b");
    }
    other.flush();
    cr_expect(others.records.empty());
    cr_assert_eq(others.sent.size(), 2, "a datagram is bounded");
    Calls calls;
    calls.storer = "storing";
    OriginStore storing("storing", calls.ports());
    for (const auto &[vm, records] : others.sent) {
        cr_expect_eq(vm, "storing");
        cr_expect(areBegunRecords(records));
        storing.receive(records);
    }
    storing.flush();
    cr_assert_eq(calls.records.size(), 1);
    cr_expect_eq(calls.streamsIn(0), maxOriginsInDatagram + 1);
}

Test(originstore, recordsForHoldersAreNotStored)
{
    wire::OriginRecords records = makeBegunRecords({{1, "a"}});
    records.lifeMilliseconds = {30000};
    Calls calls;
    OriginStore store("own", calls.ports());
    store.receive(records);
    records.lifeMilliseconds.clear();
    records.versions = {7};
    store.receive(records);
    store.flush();
    cr_expect(calls.records.empty());
}

Test(originstore, theCallsOfAllVmsTogetherAreBounded)
{
    for (const std::size_t vms : {1, 6, 58, 86, 195, 590}) {
        const double interval = std::chrono::duration<double>(originInterval(vms, false)).count();
        cr_expect_leq(static_cast<double>(vms) / interval, static_cast<double>(originCallsPerSecond), "%zu VMs", vms);
        cr_expect_geq(originInterval(vms, false), minOriginInterval);
        cr_expect_eq(originInterval(vms, true), minOriginInterval);
    }
}

Test(originstore, whatAnotherWriterLeftIsNoRecord)
{
    cr_expect_not(decodeOrigins("").has_value());
    cr_expect_not(decodeOrigins(std::string(1000, '\xff')).has_value());
    cr_expect_not(decodeOrigins("{\"keys\":[]}").has_value());
}
