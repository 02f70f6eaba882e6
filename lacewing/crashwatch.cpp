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
#include "promptparts.h"

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
/// Answers in flight when the endpoint crashed have arrived after this time.
constexpr Duration answerInFlightTime = milliseconds(50);

void addTo(ContentInProgress &inProgress, const RequestContent &content, std::optional<Duration> answeredFor)
{
    const bool late = answeredFor && *answeredFor >= earlyCrashWindow;
    (late ? inProgress.requests.late : inProgress.requests.early).push_back(content.digest);
    const bool justBegun = answeredFor && *answeredFor < partCrashWindow;
    std::vector<RequestDigest> &parts = justBegun ? inProgress.parts.early : inProgress.parts.late;
    for (const RequestDigest part : content.parts) {
        if (std::find(parts.begin(), parts.end(), part) == parts.end()) {
            parts.push_back(part);
        }
    }
}

std::size_t countRequests(const ContentInProgress &inProgress)
{
    return inProgress.requests.early.size() + inProgress.requests.late.size();
}

} // namespace

CrashWatch::CrashWatch(asio::io_context &ioContext, RuntimeClock &runtimeClock)
    : context(ioContext), clock(runtimeClock), flushTimer(ioContext), completionTimer(ioContext), reviewTimer(ioContext)
{
}

void CrashWatch::recordBrokenConnection(const EndpointIncarnation &incarnation, const RequestContent &content,
                                        std::optional<Duration> answeredFor)
{
    const CrashKey key = crashKeyOf(incarnation.endpoint, incarnation.born);
    if (firstReportTime(this->ledger, key)) {
        ContentInProgress one;
        addTo(one, content, answeredFor);
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
    addTo(crash.inProgress, content, answeredFor);
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
              {"in_progress", std::to_string(countRequests(crash.inProgress))}});
    this->reportCrash(crash.incarnation, crash.inProgress);
}

void CrashWatch::reportCrash(const EndpointIncarnation &incarnation, const ContentInProgress &inProgress)
{
    const CrashKey key = crashKeyOf(incarnation.endpoint, incarnation.born);
    const TimePoint now = this->clock.now();
    this->counts.crashes += firstReportTime(this->ledger, key) ? 0 : 1;
    recordCrash(this->ledger, key, incarnation.service, inProgress.requests, now);
    recordCrash(this->parts, key, incarnation.service, inProgress.parts, now);
    this->scheduleReview();
    this->queueReports(incarnation, inProgress);
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

void CrashWatch::recordCompletion(const RequestContent &content)
{
    if (lacewing::recordCompletion(this->ledger, content.digest)) {
        this->queueCompletion(this->unsentCompletions, content.digest);
    }
    for (const RequestDigest part : content.parts) {
        if (lacewing::recordCompletion(this->parts, part)) {
            this->queueCompletion(this->unsentPartCompletions, part);
        }
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
    update.refuted.push_back(static_cast<std::int64_t>(key));
    this->broadcast(update);
}

void CrashWatch::refute(CrashKey key)
{
    refuteCrash(this->parts, key);
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

void CrashWatch::recordRefusal(const RequestContent &content)
{
    lacewing::recordRefusal(this->ledger, content.digest, this->clock.now());
}

Suspicion CrashWatch::suspicionOf(const RequestContent &content) const
{
    const Suspicion ofRequest = lacewing::suspicionOf(this->ledger, content.digest);
    return std::max(ofRequest, suspicionOfParts(this->parts, content.parts));
}

bool CrashWatch::isSuspectedRequest(RequestDigest digest) const
{
    return lacewing::suspicionOf(this->ledger, digest) == Suspicion::Suspected;
}

bool CrashWatch::hasProvenPart(const RequestContent &content) const
{
    return suspicionOfParts(this->parts, content.parts) == Suspicion::Proven;
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
    const std::vector<RequestDigest> requests = reviewLedger(this->ledger, now);
    for (const RequestDigest digest : requests) {
        this->counts.proven += 1;
        logEvent("request_proven_to_crash", {{"digest", describe(digest)}});
        clearExplainedCrashes(this->parts, crashesOf(this->ledger, digest));
    }
    const std::vector<RequestDigest> provenParts = reviewParts(this->parts, now);
    for (const RequestDigest part : provenParts) {
        const std::vector<CrashKey> crashes = crashesOf(this->parts, part);
        this->counts.partsProven += 1;
        logEvent("part_proven_to_crash", {{"part", describe(part)}, {"crashes", std::to_string(crashes.size())}});
        clearExplainedCrashes(this->ledger, crashes);
    }
    if (hasUnsettledCrash(this->ledger, now)) {
        this->scheduleReview();
    }
    if ((!requests.empty() || !provenParts.empty()) && this->onProven) {
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
