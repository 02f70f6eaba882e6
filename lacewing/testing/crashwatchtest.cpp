// Detection of crashed endpoints, with real ports: which signs show that a process has ended, and which that it lives.

#include "crashwatch.h"

#include <chrono>
#include <memory>
#include <optional>

#include "clock.h"
#include "fleet.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr std::int64_t born = 100;

/// What listens at the endpoint's port after its connections broke.
enum class Port {
    Closed,
    Accepting, ///< another process, or a link that goes on
    Resetting, ///< accepts and closes: the process is ending, or a parent holds the port
};

/// A VM's watch and the port of an endpoint whose connections broke under a request.
struct WatchFixture {
    explicit WatchFixture(Port initial) : acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        this->content.digest = 7;
        this->address = "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
        this->setPort(initial);
    }

    void setPort(Port next)
    {
        this->port = next;
        if (next == Port::Closed) {
            this->acceptor.close();
        } else {
            this->accept();
        }
    }

    void accept()
    {
        this->acceptor.async_accept([this](const NetError &error, Tcp::socket socket) {
            if (error) {
                return;
            }
            this->probes += 1;
            if (this->port == Port::Accepting) {
                this->held.push_back(std::move(socket));
            }
            this->accept();
        });
    }

    void breakConnection(bool replaced = false)
    {
        this->watch.recordBrokenConnection({"i", born, "s", this->address}, this->content, this->clock.now(),
                                           std::nullopt, replaced);
    }

    void list(const EndpointName &id, std::int64_t start)
    {
        EndpointEntry entry;
        entry.id = id;
        entry.born = start;
        entry.service = "s";
        entry.address = this->address;
        this->watch.recordListedEntry(entry);
    }

    Suspicion runFor(std::chrono::milliseconds time)
    {
        this->context.run_for(time);
        this->context.restart();
        return this->watch.suspicionOf(this->content);
    }

    /// @return whether the request is suspected within a time that is ample on a busy machine
    bool becomesSuspected()
    {
        for (int times = 0; times < 200 && this->runFor(std::chrono::milliseconds(50)) == Suspicion::None; ++times) {
        }
        return this->watch.suspicionOf(this->content) == Suspicion::Suspected;
    }

    asio::io_context context;
    RuntimeClock clock;
    CrashWatch watch {context, clock};
    Tcp::acceptor acceptor;
    std::vector<Tcp::socket> held;
    Port port = Port::Accepting;
    RequestContent content;
    std::string address;
    int probes = 0;
};

constexpr std::chrono::milliseconds probed {300};

} // namespace

Test(crashwatch, refusedConnectionShowsThatTheProcessHasEnded)
{
    WatchFixture fixture(Port::Closed);
    fixture.breakConnection();
    cr_assert(fixture.becomesSuspected());
}

// The next process may listen before it is listed.
Test(crashwatch, acceptedConnectionDoesNotShowThatTheProcessLives)
{
    WatchFixture fixture(Port::Accepting);
    fixture.breakConnection();
    cr_assert_eq(fixture.runFor(probed), Suspicion::None);
    fixture.list("i", born);
    cr_assert_eq(fixture.runFor(probed), Suspicion::None, "the same incarnation");
    fixture.list("i", born + 1);
    cr_assert(fixture.becomesSuspected());
    cr_assert_eq(fixture.probes, 1);
}

Test(crashwatch, nextProcessMayHaveAnotherId)
{
    WatchFixture fixture(Port::Accepting);
    fixture.breakConnection();
    fixture.runFor(probed);
    fixture.list("j", born);
    cr_assert(fixture.becomesSuspected());
}

Test(crashwatch, nextProcessMayBeListedBeforeTheBreakIsNoticed)
{
    WatchFixture fixture(Port::Accepting);
    fixture.breakConnection(true);
    cr_assert_eq(fixture.watch.suspicionOf(fixture.content), Suspicion::Suspected);
}

// A listener that outlives the connections of its process, as that of a supervisor does.
Test(crashwatch, portThatAcceptsAndClosesIsProbedAgain)
{
    WatchFixture fixture(Port::Resetting);
    fixture.breakConnection();
    cr_assert_eq(fixture.runFor(probed), Suspicion::None);
    fixture.setPort(Port::Closed);
    cr_assert(fixture.becomesSuspected());
}

Test(crashwatch, answerOnAnEarlierConnectionShowsThatTheProcessLives)
{
    WatchFixture fixture(Port::Accepting);
    const TimePoint connected = fixture.clock.now() - milliseconds(1);
    fixture.breakConnection();
    fixture.runFor(probed);
    fixture.watch.recordAnswer("i", born, connected, fixture.clock.now());
    fixture.list("i", born + 1);
    cr_assert_eq(fixture.runFor(probed), Suspicion::None, "it ended later, for another reason");
}

Test(crashwatch, answerOnANewConnectionMayBeThatOfTheNextProcess)
{
    WatchFixture fixture(Port::Accepting);
    fixture.breakConnection();
    fixture.runFor(probed);
    fixture.watch.recordAnswer("i", born, fixture.clock.now(), fixture.clock.now());
    fixture.list("i", born + 1);
    cr_assert(fixture.becomesSuspected());
}

// A VM that was paused learns of a crash late, and has sent a request to the next process by then.
Test(crashwatch, answerToARequestSentBeforeTheReportRefutesNothing)
{
    WatchFixture fixture(Port::Closed);
    const TimePoint early = fixture.clock.now() - milliseconds(5000);
    fixture.breakConnection();
    cr_assert(fixture.becomesSuspected());
    fixture.watch.recordAnswer("i", born, early, fixture.clock.now() - milliseconds(4000));
    fixture.watch.recordAnswer("i", born, fixture.clock.now(), fixture.clock.now());
    cr_assert(fixture.becomesSuspected());
    fixture.watch.recordAnswer("i", born, early, fixture.clock.now());
    cr_assert_eq(fixture.watch.suspicionOf(fixture.content), Suspicion::None, "an earlier connection, a later request");
}

// An endpoint that breaks every connection and goes on running.
Test(crashwatch, requestsOfBrokenConnectionsAreBounded)
{
    WatchFixture fixture(Port::Accepting);
    std::size_t reported = 0;
    fixture.watch.onUpdate = [&reported](const wire::CrashNews &update) {
        for (const wire::CrashReport &report : update.crashes) {
            reported += report.digests.size();
        }
    };
    for (RequestDigest digest = 1; digest <= 2 * maxInProgressPerCrash; ++digest) {
        fixture.content.digest = digest;
        fixture.breakConnection();
        fixture.breakConnection();
    }
    fixture.list("i", born + 1);
    fixture.runFor(probed);
    cr_assert_eq(reported, maxInProgressPerCrash, "%zu requests told", reported);
}

namespace {

wire::CrashNews reportOf(const std::string &endpoint, RequestDigest digest, std::int32_t ageMilliseconds)
{
    wire::CrashReport report;
    report.endpoint = endpoint;
    report.born = born;
    report.serviceName = "s";
    report.digests = {static_cast<std::int64_t>(digest)};
    report.__set_ages({ageMilliseconds});
    wire::CrashNews news;
    news.crashes.push_back(report);
    return news;
}

/// Takes the reports of another VM, of crashes at some distance.
/// @param ageMilliseconds of the copy at each endpoint
/// @return what is known of the request afterwards
Suspicion takeReports(WatchFixture &fixture, std::int32_t ageMilliseconds)
{
    constexpr std::chrono::milliseconds apart {400};
    for (const char *endpoint : {"a", "b", "c"}) {
        fixture.watch.take(reportOf(endpoint, fixture.content.digest, ageMilliseconds));
        fixture.runFor(apart);
    }
    return fixture.watch.suspicionOf(fixture.content);
}

} // namespace

// Guards against copies that ran beside each other, at VMs of their own, and are taken for independent evidence.
Test(crashwatch, otherVmsAreToldHowLongAgoACopyWasSent)
{
    WatchFixture fixture(Port::Closed);
    wire::CrashNews told;
    fixture.watch.onUpdate = [&told](const wire::CrashNews &update) { told = update; };
    const TimePoint sentAt = fixture.clock.now() - milliseconds(700);
    fixture.watch.recordBrokenConnection({"i", born, "s", fixture.address}, fixture.content, sentAt, std::nullopt,
                                         false);
    for (int times = 0; times < 200 && told.crashes.empty(); ++times) {
        fixture.runFor(std::chrono::milliseconds(50));
    }
    cr_assert_eq(told.crashes.size(), 1U);
    cr_assert_eq(told.crashes.front().ages.size(), told.crashes.front().digests.size());
    cr_expect_geq(told.crashes.front().ages.front(), 700);
}

Test(crashwatch, reportsOfCopiesThatRanBesideEachOtherProveNothing)
{
    WatchFixture beside(Port::Accepting);
    cr_expect_eq(takeReports(beside, 2000), Suspicion::Suspected);
    WatchFixture apart(Port::Accepting);
    cr_expect_eq(takeReports(apart, 50), Suspicion::Proven);
}

// Guards against a proof that outlasts its time because no crash is reported.
Test(crashwatch, aProofEndsWithoutNews)
{
    WatchFixture fixture(Port::Accepting);
    cr_assert_eq(takeReports(fixture, 50), Suspicion::Proven);
    fixture.clock.pause();
    fixture.clock.advance(firstProofTime);
    fixture.watch.periodicUpdate();
    cr_expect_eq(fixture.watch.suspicionOf(fixture.content), Suspicion::Suspected);
    cr_expect_eq(fixture.watch.counts.proofsEnded, 1);
}
