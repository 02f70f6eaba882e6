// After a break the endpoint's port is tried once. A port that refuses is that of a process that has ended, one that
// takes the connection that of a process that runs; where neither comes, the endpoint may be behind a cut, and the
// break is kept until the list shows its next incarnation or another VM tells of its end.

#include "crashwatch.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "eventlog.h"
#include "fleet.h"
#include "handlerguard.h"

namespace lacewing {

namespace {

/// A process that ends closes its connections and its port within some milliseconds, in any order.
constexpr Duration probeDelay = milliseconds(5);
constexpr Duration probeTimeout = milliseconds(400);
/// The next incarnation of an endpoint that crashed is listed by then.
constexpr Duration brokenMemory = milliseconds(20000);
constexpr std::size_t mostBroken = 512; ///< incarnations with requests that broke
/// What breaks within this time is told in one datagram.
constexpr Duration flushDelay = milliseconds(20);
/// Requests that end whole after many endpoints have ended are many, and not urgent.
constexpr Duration completionDelay = milliseconds(200);
/// Digests that wait to be told: a VM has hundreds of requests in progress at most.
constexpr std::size_t mostUntold = 512;
/// Digests in one datagram: it stays below the size that networks split.
constexpr std::size_t mostInDatagram = 96;
/// Names of an endpoint and its service take about as much room as this many digests.
constexpr std::size_t namesInDigests = 5;
/// Suspects in one datagram that is told again and again.
constexpr std::size_t mostStatements = 4;
/// Answers that were on their way when the endpoint crashed have arrived by then.
constexpr Duration answersInFlight = milliseconds(50);

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

void CrashWatch::noteBroken(const EndpointRun &run, RequestDigest digest, bool late)
{
    const CrashKey key = crashKeyOf(run.endpoint, run.born);
    if (whenNoted(this->ledger, key)) {
        InProgress one;
        (late ? one.late : one.early).push_back(digest);
        this->tell(run, one);
        return;
    }
    this->forgetOld();
    if (this->broken.size() >= mostBroken && !this->broken.contains(key)) {
        return;
    }
    Broken &at = this->broken[key];
    at.run = run;
    at.since = this->clock.now();
    (late ? at.requests.late : at.requests.early).push_back(digest);
    if (!at.probing) {
        this->probe(key);
    }
}

void CrashWatch::probe(CrashKey key)
{
    Broken &at = this->broken.at(key);
    const auto target = parseAddress(at.run.address);
    if (!target) {
        return;
    }
    at.probing = true;
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
            NetError ignored; // the connection is given up
            if (!answered) {
                socket->close(ignored);
            }
        });
    });
}

void CrashWatch::onProbed(CrashKey key, const NetError &error)
{
    const auto found = this->broken.find(key);
    if (found == this->broken.end()) {
        return;
    }
    found->second.probing = false;
    if (error == asio::error::connection_refused) {
        this->confirm(key, "refused");
    } else if (!error) {
        this->broken.erase(found); // it runs: the connection broke for another reason
    }
}

void CrashWatch::confirm(CrashKey key, std::string_view evidence)
{
    const auto found = this->broken.find(key);
    if (found == this->broken.end()) {
        return;
    }
    const Broken at = std::move(found->second);
    this->broken.erase(found);
    logEvent("endpoint_crashed",
             {{"endpoint", at.run.endpoint},
              {"born", std::to_string(at.run.born)},
              {"evidence", std::string(evidence)},
              {"in_progress", std::to_string(at.requests.early.size() + at.requests.late.size())}});
    this->tell(at.run, at.requests);
}

void CrashWatch::tell(const EndpointRun &run, const InProgress &requests)
{
    const CrashKey key = crashKeyOf(run.endpoint, run.born);
    this->counts.crashes += whenNoted(this->ledger, key) ? 0 : 1;
    noteCrash(this->ledger, key, run.service, requests, this->clock.now());
    this->reviewSoon();
    this->queueReport(run, requests.early, false);
    this->queueReport(run, requests.late, true);
    if (this->flushPending || this->untold.empty()) {
        return;
    }
    this->flushPending = true;
    this->flushTimer.expires_after(flushDelay);
    this->flushTimer.async_wait([this](const NetError &error) {
        this->flushPending = false;
        if (!error) {
            runGuarded("crash_news", [this] { this->flush(); });
        }
    });
}

void CrashWatch::queueReport(const EndpointRun &run, const std::vector<RequestDigest> &digests, bool late)
{
    const std::size_t room = mostUntold - std::min(mostUntold, this->untoldDigests);
    const std::size_t told = std::min(room, digests.size());
    this->counts.untold += static_cast<std::int64_t>(digests.size() - told);
    this->untoldDigests += told;
    for (std::size_t first = 0; first < told; first += mostInDatagram) {
        wire::CrashReport report;
        report.endpoint = run.endpoint;
        report.born = run.born;
        report.serviceName = run.service;
        const auto begin = digests.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = begin + static_cast<std::ptrdiff_t>(std::min(mostInDatagram, told - first));
        (late ? report.lateDigests : report.digests).assign(begin, end);
        this->untold.push_back(std::move(report));
    }
}

void CrashWatch::flush()
{
    const std::vector<wire::CrashReport> reports = std::exchange(this->untold, {});
    this->untoldDigests = 0;
    wire::CrashNews news;
    std::size_t size = 0;
    for (const wire::CrashReport &report : reports) {
        const std::size_t digests = report.digests.size() + report.lateDigests.size();
        if (size > 0 && size + digests > mostInDatagram) {
            this->publish(std::exchange(news, {}));
            size = 0;
        }
        news.crashes.push_back(report);
        size += digests + namesInDigests;
    }
    if (!news.crashes.empty()) {
        this->publish(news);
    }
}

void CrashWatch::publish(const wire::CrashNews &news) const
{
    if (this->onNews) {
        this->onNews(news);
    }
}

void CrashWatch::noteCompletion(RequestDigest digest)
{
    if (!lacewing::noteCompletion(this->ledger, digest)) {
        return;
    }
    if (this->untoldCompletions.size() >= mostUntold) {
        this->counts.untold += 1;
        return;
    }
    this->untoldCompletions.push_back(toWire(digest));
    if (this->untoldCompletions.size() > 1) {
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
    const std::vector<std::int64_t> digests = std::exchange(this->untoldCompletions, {});
    for (std::size_t first = 0; first < digests.size(); first += mostInDatagram) {
        wire::CrashNews news;
        const auto begin = digests.begin() + static_cast<std::ptrdiff_t>(first);
        news.completed.assign(begin,
                              begin + static_cast<std::ptrdiff_t>(std::min(mostInDatagram, digests.size() - first)));
        this->publish(news);
    }
}

void CrashWatch::noteAnswer(const EndpointName &endpoint, std::int64_t born, TimePoint sentAt)
{
    if (this->ledger.crashes.empty()) {
        return;
    }
    const CrashKey key = crashKeyOf(endpoint, born);
    const auto told = whenNoted(this->ledger, key);
    // A request that was sent after the crash may have been answered by the endpoint's next incarnation.
    if (!told || sentAt >= *told || this->clock.now() - *told < answersInFlight) {
        return;
    }
    this->refute(key);
    wire::CrashNews news;
    news.refuted.push_back(toWire(key));
    this->publish(news);
}

void CrashWatch::refute(CrashKey key)
{
    if (refuteCrash(this->ledger, key)) {
        this->counts.refuted += 1;
        logEvent("crash_refuted", {{"crash", describe(key)}});
    }
}

void CrashWatch::noteListed(const EndpointEntry &entry)
{
    std::vector<CrashKey> ended;
    for (const auto &[key, at] : this->broken) {
        const bool samePlace = at.run.endpoint == entry.id || at.run.address == entry.address;
        if (samePlace && entry.born > at.run.born) {
            ended.push_back(key);
        }
    }
    for (const CrashKey key : ended) {
        this->confirm(key, "next_incarnation");
    }
}

void CrashWatch::noteRefusal(RequestDigest digest)
{
    lacewing::noteRefusal(this->ledger, digest, this->clock.now());
}

Suspicion CrashWatch::suspicionOf(RequestDigest digest) const
{
    return lacewing::suspicionOf(this->ledger, digest);
}

void CrashWatch::take(const wire::CrashNews &news)
{
    const TimePoint now = this->clock.now();
    for (const wire::CrashReport &report : news.crashes) {
        const CrashKey key = crashKeyOf(report.endpoint, report.born);
        this->counts.crashes += whenNoted(this->ledger, key) ? 0 : 1;
        const InProgress requests {fromWire(report.digests), fromWire(report.lateDigests)};
        noteCrash(this->ledger, key, report.serviceName, requests, now);
        this->confirm(key, "told");
    }
    for (const std::int64_t digest : news.completed) {
        lacewing::noteCompletion(this->ledger, fromWire(digest));
    }
    for (const std::int64_t key : news.refuted) {
        this->refute(fromWire(key));
    }
    for (const wire::SuspectStatement &told : news.suspects) {
        noteStatement(this->ledger, {fromWire(told.digest), fromWire(told.charged), fromWire(told.cleared)}, now);
    }
    if (!news.crashes.empty() || !news.suspects.empty()) {
        this->reviewSoon();
    }
}

wire::CrashNews CrashWatch::repeatedNews()
{
    wire::CrashNews news;
    for (const SuspectStatement &statement :
         statementsOf(this->ledger, this->turn++, mostStatements, this->clock.now())) {
        wire::SuspectStatement told;
        told.digest = toWire(statement.digest);
        told.charged = toWire(statement.charged);
        told.cleared = toWire(statement.cleared);
        news.suspects.push_back(std::move(told));
    }
    return news;
}

void CrashWatch::reviewSoon()
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
    if (hasUnsettled(this->ledger, now)) {
        this->reviewSoon();
    }
    if (!proven.empty() && this->onProven) {
        this->onProven();
    }
}

void CrashWatch::forgetOld()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->broken, [now](const auto &entry) { return now - entry.second.since >= brokenMemory; });
}

} // namespace lacewing
