// After a connection broke, the endpoint's port is probed once. A refused connection means that the process has ended,
// an accepted one that it runs. If neither happens, the endpoint may be unreachable because of a network partition, and
// the unconfirmed crash is kept until the platform's list shows the next incarnation or another VM reports the crash.

#include "crashwatch.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "eventlog.h"
#include "fleet.h"
#include "handlerguard.h"

namespace lacewing {

namespace {

/// A process that ends closes its connections and its port within a few milliseconds, in any order.
constexpr Duration probeDelay = milliseconds(5);
constexpr Duration probeTimeout = milliseconds(400);
/// The next incarnation of a crashed endpoint is listed within this time.
constexpr Duration unconfirmedRetention = milliseconds(20000);
constexpr std::size_t maxUnconfirmed = 512; ///< incarnations with broken requests
/// Requests that break within this time are reported in one datagram.
constexpr Duration flushDelay = milliseconds(20);
/// Completions are numerous after many endpoints crash, and not urgent, so they are batched for longer.
constexpr Duration completionDelay = milliseconds(200);
/// Bound of the digests that wait to be sent. A VM has at most hundreds of requests in progress.
constexpr std::size_t maxUnsent = 512;
/// Keeps a datagram below the size at which networks fragment it.
constexpr std::size_t maxDigestsPerDatagram = 96;
/// The names of an endpoint and its service take about as much space as this many digests.
constexpr std::size_t namesSizeInDigests = 5;
/// Suspects in one periodic update, which is one datagram.
constexpr std::size_t maxStatementsPerUpdate = 4;
/// Answers in flight when the endpoint crashed have arrived after this time.
constexpr Duration answerInFlightTime = milliseconds(50);

std::int64_t toWire(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t fromWire(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

std::vector<std::int64_t> toWire(const std::vector<std::uint64_t> &values)
{
    return {values.begin(), values.end()};
}

std::vector<std::uint64_t> fromWire(const std::vector<std::int64_t> &values)
{
    return {values.begin(), values.end()};
}

} // namespace

CrashWatch::CrashWatch(asio::io_context &ioContext, RuntimeClock &runtimeClock)
    : context(ioContext), clock(runtimeClock), flushTimer(ioContext), completionTimer(ioContext), reviewTimer(ioContext)
{
}

void CrashWatch::recordBrokenConnection(const EndpointIncarnation &incarnation, RequestDigest digest, bool late)
{
    const CrashKey key = crashKeyOf(incarnation.endpoint, incarnation.born);
    if (firstReportTime(this->ledger, key)) {
        InProgress one;
        (late ? one.late : one.early).push_back(digest);
        this->reportCrash(incarnation, one);
        return;
    }
    this->removeExpired();
    if (this->unconfirmed.size() >= maxUnconfirmed && !this->unconfirmed.contains(key)) {
        return;
    }
    UnconfirmedCrash &crash = this->unconfirmed[key];
    crash.incarnation = incarnation;
    crash.since = this->clock.now();
    (late ? crash.requests.late : crash.requests.early).push_back(digest);
    if (!crash.probing) {
        this->probe(key);
    }
}

void CrashWatch::probe(CrashKey key)
{
    UnconfirmedCrash &crash = this->unconfirmed.at(key);
    const auto target = parseAddress(crash.incarnation.address);
    if (!target) {
        return;
    }
    crash.probing = true;
    const auto timer = std::make_shared<asio::steady_timer>(this->context, probeDelay);
    const auto socket = std::make_shared<Tcp::socket>(this->context);
    timer->async_wait([this, key, timer, socket, target](const NetError &stopped) {
        if (stopped) {
            return;
        }
        socket->async_connect(*target, [this, key, timer](const NetError &error) {
            timer->cancel();
            runGuarded("crash_probe", [&] { this->onProbed(key, error); });
        });
        timer->expires_after(probeTimeout);
        timer->async_wait([socket](const NetError &answered) {
            NetError ignored; // the connection is abandoned
            if (!answered) {
                socket->close(ignored);
            }
        });
    });
}

void CrashWatch::onProbed(CrashKey key, const NetError &error)
{
    const auto found = this->unconfirmed.find(key);
    if (found == this->unconfirmed.end()) {
        return;
    }
    found->second.probing = false;
    if (error == asio::error::connection_refused) {
        this->confirm(key, "refused");
    } else if (!error) {
        this->unconfirmed.erase(found); // the process runs: the connection broke for another reason
    }
}

void CrashWatch::confirm(CrashKey key, std::string_view evidence)
{
    const auto found = this->unconfirmed.find(key);
    if (found == this->unconfirmed.end()) {
        return;
    }
    const UnconfirmedCrash crash = std::move(found->second);
    this->unconfirmed.erase(found);
    logEvent("endpoint_crashed",
             {{"endpoint", crash.incarnation.endpoint},
              {"born", std::to_string(crash.incarnation.born)},
              {"evidence", std::string(evidence)},
              {"in_progress", std::to_string(crash.requests.early.size() + crash.requests.late.size())}});
    this->reportCrash(crash.incarnation, crash.requests);
}

void CrashWatch::reportCrash(const EndpointIncarnation &incarnation, const InProgress &requests)
{
    const CrashKey key = crashKeyOf(incarnation.endpoint, incarnation.born);
    this->counts.crashes += firstReportTime(this->ledger, key) ? 0 : 1;
    recordCrash(this->ledger, key, incarnation.service, requests, this->clock.now());
    this->scheduleReview();
    this->queueReport(incarnation, requests.early, false);
    this->queueReport(incarnation, requests.late, true);
    if (this->flushPending || this->unsentReports.empty()) {
        return;
    }
    this->flushPending = true;
    this->flushTimer.expires_after(flushDelay);
    this->flushTimer.async_wait([this](const NetError &error) {
        this->flushPending = false;
        if (!error) {
            runGuarded("crash_news", [this] { this->flushReports(); });
        }
    });
}

void CrashWatch::queueReport(const EndpointIncarnation &incarnation, const std::vector<RequestDigest> &digests,
                             bool late)
{
    const std::size_t room = maxUnsent - std::min(maxUnsent, this->unsentDigests);
    const std::size_t queued = std::min(room, digests.size());
    this->counts.untold += static_cast<std::int64_t>(digests.size() - queued);
    this->unsentDigests += queued;
    for (std::size_t first = 0; first < queued; first += maxDigestsPerDatagram) {
        wire::CrashReport report;
        report.endpoint = incarnation.endpoint;
        report.born = incarnation.born;
        report.serviceName = incarnation.service;
        const auto begin = digests.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = begin + static_cast<std::ptrdiff_t>(std::min(maxDigestsPerDatagram, queued - first));
        (late ? report.lateDigests : report.digests).assign(begin, end);
        this->unsentReports.push_back(std::move(report));
    }
}

void CrashWatch::flushReports()
{
    const std::vector<wire::CrashReport> reports = std::exchange(this->unsentReports, {});
    this->unsentDigests = 0;
    wire::CrashNews update;
    std::size_t size = 0;
    for (const wire::CrashReport &report : reports) {
        const std::size_t digests = report.digests.size() + report.lateDigests.size();
        if (size > 0 && size + digests > maxDigestsPerDatagram) {
            this->broadcast(std::exchange(update, {}));
            size = 0;
        }
        update.crashes.push_back(report);
        size += digests + namesSizeInDigests;
    }
    if (!update.crashes.empty()) {
        this->broadcast(update);
    }
}

void CrashWatch::broadcast(const wire::CrashNews &update) const
{
    if (this->onUpdate) {
        this->onUpdate(update);
    }
}

void CrashWatch::recordCompletion(RequestDigest digest)
{
    if (!lacewing::recordCompletion(this->ledger, digest)) {
        return;
    }
    if (this->unsentCompletions.size() >= maxUnsent) {
        this->counts.untold += 1;
        return;
    }
    this->unsentCompletions.push_back(toWire(digest));
    if (this->unsentCompletions.size() > 1) {
        return;
    }
    this->completionTimer.expires_after(completionDelay);
    this->completionTimer.async_wait([this](const NetError &error) {
        if (!error) {
            runGuarded("crash_news", [this] { this->flushCompletions(); });
        }
    });
}

void CrashWatch::flushCompletions()
{
    const std::vector<std::int64_t> digests = std::exchange(this->unsentCompletions, {});
    for (std::size_t first = 0; first < digests.size(); first += maxDigestsPerDatagram) {
        wire::CrashNews update;
        const auto begin = digests.begin() + static_cast<std::ptrdiff_t>(first);
        update.completed.assign(
            begin, begin + static_cast<std::ptrdiff_t>(std::min(maxDigestsPerDatagram, digests.size() - first)));
        this->broadcast(update);
    }
}

void CrashWatch::recordAnswer(const EndpointName &endpoint, std::int64_t born, TimePoint sentAt)
{
    if (this->ledger.crashes.empty()) {
        return;
    }
    const CrashKey key = crashKeyOf(endpoint, born);
    const auto reportedAt = firstReportTime(this->ledger, key);
    // A request that was sent after the crash may have been answered by the endpoint's next incarnation.
    if (!reportedAt || sentAt >= *reportedAt || this->clock.now() - *reportedAt < answerInFlightTime) {
        return;
    }
    this->refute(key);
    wire::CrashNews update;
    update.refuted.push_back(toWire(key));
    this->broadcast(update);
}

void CrashWatch::refute(CrashKey key)
{
    if (refuteCrash(this->ledger, key)) {
        this->counts.refuted += 1;
        logEvent("crash_refuted", {{"crash", describe(key)}});
    }
}

void CrashWatch::recordListedEntry(const EndpointEntry &entry)
{
    std::vector<CrashKey> ended;
    for (const auto &[key, crash] : this->unconfirmed) {
        const bool sameEndpoint = crash.incarnation.endpoint == entry.id || crash.incarnation.address == entry.address;
        if (sameEndpoint && entry.born > crash.incarnation.born) {
            ended.push_back(key);
        }
    }
    for (const CrashKey key : ended) {
        this->confirm(key, "next_incarnation");
    }
}

void CrashWatch::recordRefusal(RequestDigest digest)
{
    lacewing::recordRefusal(this->ledger, digest, this->clock.now());
}

Suspicion CrashWatch::suspicionOf(RequestDigest digest) const
{
    return lacewing::suspicionOf(this->ledger, digest);
}

void CrashWatch::take(const wire::CrashNews &update)
{
    const TimePoint now = this->clock.now();
    for (const wire::CrashReport &report : update.crashes) {
        const CrashKey key = crashKeyOf(report.endpoint, report.born);
        this->counts.crashes += firstReportTime(this->ledger, key) ? 0 : 1;
        const InProgress requests {fromWire(report.digests), fromWire(report.lateDigests)};
        recordCrash(this->ledger, key, report.serviceName, requests, now);
        this->confirm(key, "told");
    }
    for (const std::int64_t digest : update.completed) {
        lacewing::recordCompletion(this->ledger, fromWire(digest));
    }
    for (const std::int64_t key : update.refuted) {
        this->refute(fromWire(key));
    }
    for (const wire::SuspectStatement &suspect : update.suspects) {
        applyStatement(this->ledger, {fromWire(suspect.digest), fromWire(suspect.charged), fromWire(suspect.cleared)},
                       now);
    }
    if (!update.crashes.empty() || !update.suspects.empty()) {
        this->scheduleReview();
    }
}

wire::CrashNews CrashWatch::periodicUpdate()
{
    wire::CrashNews update;
    for (const SuspectStatement &statement :
         selectStatements(this->ledger, this->round++, maxStatementsPerUpdate, this->clock.now())) {
        wire::SuspectStatement suspect;
        suspect.digest = toWire(statement.digest);
        suspect.charged = toWire(statement.charged);
        suspect.cleared = toWire(statement.cleared);
        update.suspects.push_back(std::move(suspect));
    }
    return update;
}

void CrashWatch::scheduleReview()
{
    if (this->reviewPending) {
        return;
    }
    this->reviewPending = true;
    this->reviewTimer.expires_after(settlingTime);
    this->reviewTimer.async_wait([this](const NetError &error) {
        this->reviewPending = false;
        if (!error) {
            runGuarded("crash_review", [this] { this->review(); });
        }
    });
}

void CrashWatch::review()
{
    const TimePoint now = this->clock.now();
    const std::vector<RequestDigest> proven = reviewLedger(this->ledger, now);
    for (const RequestDigest digest : proven) {
        this->counts.proven += 1;
        logEvent("request_proven_to_crash", {{"digest", describe(digest)}});
    }
    if (hasUnsettledCrash(this->ledger, now)) {
        this->scheduleReview();
    }
    if (!proven.empty() && this->onProven) {
        this->onProven();
    }
}

void CrashWatch::removeExpired()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->unconfirmed,
                  [now](const auto &entry) { return now - entry.second.since >= unconfirmedRetention; });
}

} // namespace lacewing
