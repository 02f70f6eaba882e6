// Guards against an exception in an event-loop handler that ends the process with all its requests, or that is lost
// without a log line when it is thrown in a call to the platform. It must end only the work of that handler.

#include "handlerguard.h"

#include <stdexcept>

#include "clock.h"
#include "entrynodefixture.h"
#include "placementowner.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::testing;

Test(handlerguard, aFailureIsCountedAndNotPropagated)
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
    for (std::int64_t count = 0; count < 10 * maxFailuresInSeries; ++count) {
        now += failureSeriesGap;
        recordFailure(failures, now);
        cr_assert_not(isFailingRepeatedly(failures));
    }
    for (std::int64_t count = 1; count < maxFailuresInSeries; ++count) {
        now += failureSeriesGap / 2;
        recordFailure(failures, now);
        cr_assert_not(isFailingRepeatedly(failures));
    }
    recordFailure(failures, now);
    cr_assert(isFailingRepeatedly(failures));
}

Test(handlerguard, anOwnerWhoseOrderThrowsReleasesItsZone)
{
    asio::io_context context;
    FakePlatform platform;
    EntryNodeSettings settings = settingsOf("vm1");
    PlatformPort port = platform.port("vm1");
    port.report
        = [&context](const EndpointName &, const std::string &, const std::function<void(const ReportAnswer &)> &done) {
              asio::post(context, [done] {
                  done({EndpointReport {}});
              }); // without weights, so that the owner orders it to load the model
          };
    port.order = [](const PlacementOrder &, const std::string &, std::int64_t, const auto &) {
        throw std::runtime_error("broken");
    };
    EntryNode node(context, settings, RequestFormat {}, port);
    cr_assert_not(node.start());
    node.setConfig(makeEngineConfig());
    node.putEndpoint(makeEntry(false));
    node.listRead({{unnamedEra, 1}, RuntimeClock().now()});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (handlerFailures().total == 0 && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    cr_assert_eq(handlerFailures().total, 1);
    // The VM claims the zone again, as no other VM does.
    while (platform.claims.size() < 2 && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    cr_assert_eq(platform.claims.size(), 2U);
}
