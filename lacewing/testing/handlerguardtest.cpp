// An exception in a handler of the event loop used to end the process with all its requests, or, in a call on the
// platform, to vanish without a line. Now it ends what the handler was about, and no more.

#include "handlerguard.h"

#include <stdexcept>

#include "entrynodefixture.h"
#include "placementowner.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::testing;

Test(handlerguard, aFailureIsCountedAndDoesNotGoOn)
{
    cr_assert(runGuarded("test", [] {}));
    cr_assert_eq(handlerFailures().total, 0);
    cr_assert_not(runGuarded("test", [] { throw std::runtime_error("broken"); }));
    cr_assert_not(runGuarded("test", [] { throw 1; }));
    reportingFailure("test")(nullptr);
    cr_assert_eq(handlerFailures().total, 2);
}

Test(handlerguard, onlyASeriesOfFailuresEndsTheProcess)
{
    HandlerFailures failures;
    TimePoint now {milliseconds(1)};
    for (std::int64_t count = 0; count < 10 * mostFailuresInSeries; ++count) {
        now += failureMemory;
        noteFailure(failures, now);
        cr_assert_not(isFailingInSeries(failures));
    }
    for (std::int64_t count = 1; count < mostFailuresInSeries; ++count) {
        now += failureMemory / 2;
        noteFailure(failures, now);
        cr_assert_not(isFailingInSeries(failures));
    }
    noteFailure(failures, now);
    cr_assert(isFailingInSeries(failures));
}

Test(handlerguard, anOwnerWhoseOrderFailsGivesItsZoneToAnotherVm)
{
    asio::io_context context;
    FakePlatform platform;
    EntryNodeSettings settings = settingsOf("vm1");
    PlatformPort port = platform.port("vm1");
    port.report = [&context](const EndpointName &, const std::string &,
                             const std::function<void(std::optional<EndpointReport>)> &done) {
        asio::post(context, [done] { done(EndpointReport {}); }); // an empty endpoint, to be ordered to load the model
    };
    port.order = [](const PlacementOrder &, const std::string &, std::int64_t, const auto &) {
        throw std::runtime_error("broken");
    };
    EntryNode node(context, settings, RequestFormat {}, port);
    cr_assert_not(node.start());
    node.setConfig(makeEngineConfig());
    node.putEndpoint(makeEntry(false));
    node.listRead({1});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (handlerFailures().total == 0 && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    cr_assert_eq(handlerFailures().total, 1);
    // It claims the zone again, as nobody else does.
    while (platform.claims.size() < 2 && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    cr_assert_eq(platform.claims.size(), 2U);
}
