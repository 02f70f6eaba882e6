// After a connection broke, the endpoint's port is probed. A refused connection means that the process has ended. One
// that is accepted and closed again may be the port of a process that is ending, and is probed again. In all other
// cases the unconfirmed crash is kept until the platform's list shows a newer process, another VM reports the crash, or
// an answer shows that the process lives.

#include "crashwatch.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "crashevidence.h"
#include "eventlog.h"
#include "fleet.h"
#include "handlerguard.h"
#include "promptparts.h"

namespace lacewing {

namespace {

/// A process that ends closes its connections and its port within a few milliseconds, in any order.
constexpr Duration probeDelay = milliseconds(5);
constexpr Duration probeTimeout = milliseconds(400);
/// A process that runs keeps a new connection open for longer than this, to wait for a request.
constexpr Duration probeHold = milliseconds(100);
/// Between probes of a port that accepts connections and closes them.
constexpr Duration probeInterval = milliseconds(250);
constexpr int maxProbes = 12;
/// The next incarnation of a crashed endpoint is listed within this time.
constexpr Duration unconfirmedRetention = milliseconds(20000);
constexpr std::size_t maxUnconfirmed = 512; ///< incarnations with broken requests
/// Requests that break within this time are reported in one datagram.
constexpr Duration flushDelay = milliseconds(20);
/// A crash has been reported to all VMs by then. A connection that was established so long before the report arrived
/// was established before the crash.
constexpr Duration maxReportDelay = milliseconds(1000);

void addTo(ContentInProgress &inProgress, const RequestContent &content, Duration age,
           std::optional<Duration> answeredFor)
{
    const auto add = [](std::vector<RequestDigest> &digests, RequestDigest digest) {
        const bool known = std::find(digests.begin(), digests.end(), digest) != digests.end();
        if (!known && digests.size() < maxInProgressPerCrash) {
            digests.push_back(digest);
        }
    };
    const bool late = answeredFor && *answeredFor >= earlyCrashWindow;
    add(late ? inProgress.requests.late : inProgress.requests.early, content.digest);
    const auto [known, isNew] = inProgress.requests.ages.try_emplace(content.digest, age);
    known->second = std::min(known->second, age);
    const bool justBegun = answeredFor && *answeredFor < partCrashWindow;
    std::vector<RequestDigest> &parts = justBegun ? inProgress.parts.early : inProgress.parts.late;
    for (const RequestDigest part : content.parts) {
        add(parts, part);
    }
}

/// @return whether a listed process has taken the place of another one
bool isReplacedBy(const EndpointIncarnation &incarnation, const EndpointEntry &entry)
{
    if (incarnation.endpoint == entry.id) {
        return entry.born > incarnation.born;
    }
    return incarnation.address == entry.address && entry.born >= incarnation.born;
}

void addAge(ContentInProgress &inProgress, Duration passed)
{
    for (auto &[digest, age] : inProgress.requests.ages) {
        age += passed;
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

/// One connection to the port of an endpoint that may have crashed.
struct CrashWatch::Probe {
    Probe(asio::io_context &context, CrashKey crash, const Tcp::endpoint &address)
        : key(crash), target(address), timer(context), socket(context)
    {
    }

    CrashKey key;
    Tcp::endpoint target;
    asio::steady_timer timer;
    Tcp::socket socket;
    char byte = 0;
};

void CrashWatch::recordBrokenConnection(const EndpointIncarnation &incarnation, const RequestContent &content,
                                        TimePoint sentAt, std::optional<Duration> answeredFor, bool replaced)
{
    const CrashKey key = crashKeyOf(incarnation.endpoint, incarnation.born);
    const TimePoint now = this->clock.now();
    if (firstReportTime(this->ledger, key)) {
        ContentInProgress one;
        addTo(one, content, now - sentAt, answeredFor);
        this->reportCrash(incarnation, one);
        return;
    }
    this->removeExpired();
    if (this->unconfirmed.size() >= maxUnconfirmed && !this->unconfirmed.contains(key)) {
        return;
    }
    const auto [found, isNew] = this->unconfirmed.try_emplace(key);
    UnconfirmedCrash &crash = found->second;
    crash.incarnation = incarnation;
    crash.first = isNew ? now : crash.first;
    addAge(crash.inProgress, isNew ? Duration {0} : now - crash.latest);
    crash.latest = now;
    addTo(crash.inProgress, content, now - sentAt, answeredFor);
    if (replaced) {
        this->confirm(key, "replaced");
    } else if (!crash.probing) {
        this->probe(key, probeDelay);
    }
}

void CrashWatch::probe(CrashKey key, Duration delay)
{
    UnconfirmedCrash &crash = this->unconfirmed.at(key);
    const auto target = parseAddress(crash.incarnation.address);
    if (!target || crash.probes >= maxProbes) {
        return;
    }
    crash.probing = true;
    crash.probes += 1;
    const auto probe = std::make_shared<Probe>(this->context, key, *target);
    probe->timer.expires_after(delay);
    probe->timer.async_wait([this, probe](const NetError &stopped) {
        if (!stopped) {
            this->connectProbe(probe);
        }
    });
}

void CrashWatch::connectProbe(const std::shared_ptr<Probe> &probe)
{
    if (!this->unconfirmed.contains(probe->key)) {
        return;
    }
    probe->socket.async_connect(probe->target, [this, probe](const NetError &error) {
        probe->timer.cancel();
        if (!error) {
            this->watchProbe(probe);
            return;
        }
        const bool refused = error == asio::error::connection_refused;
        runGuarded("crash_probe", [&] { this->endProbe(probe, refused ? "refused" : "no_answer"); });
    });
    probe->timer.expires_after(probeTimeout);
    probe->timer.async_wait([probe](const NetError &answered) {
        NetError ignored; // the connection is abandoned
        if (!answered) {
            probe->socket.close(ignored);
        }
    });
}

void CrashWatch::watchProbe(const std::shared_ptr<Probe> &probe)
{
    probe->socket.async_read_some(asio::buffer(&probe->byte, 1), [this, probe](const NetError &error, std::size_t) {
        const bool held = !error || error == asio::error::operation_aborted;
        probe->timer.cancel();
        runGuarded("crash_probe", [&] { this->endProbe(probe, held ? "held" : "closed"); });
    });
    probe->timer.expires_after(probeHold);
    probe->timer.async_wait([probe](const NetError &ended) {
        NetError ignored; // the connection is abandoned
        if (!ended) {
            probe->socket.close(ignored);
        }
    });
}

void CrashWatch::endProbe(const std::shared_ptr<Probe> &probe, std::string_view result)
{
    const auto found = this->unconfirmed.find(probe->key);
    if (found == this->unconfirmed.end()) {
        return;
    }
    found->second.probing = false;
    if (result == "refused") {
        this->confirm(probe->key, result);
        return;
    }
    logEvent("endpoint_probed",
             {{"endpoint", found->second.incarnation.endpoint},
              {"born", std::to_string(found->second.incarnation.born)},
              {"result", std::string(result)}});
    if (result == "closed") {
        this->probe(probe->key, probeInterval);
    }
}

void CrashWatch::confirm(CrashKey key, std::string_view evidence)
{
    const auto found = this->unconfirmed.find(key);
    if (found == this->unconfirmed.end()) {
        return;
    }
    UnconfirmedCrash crash = std::move(found->second);
    this->unconfirmed.erase(found);
    addAge(crash.inProgress, this->clock.now() - crash.latest);
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
    if (this->clearRequest(content.digest)) {
        this->queueCompletion(this->unsentCompletions, content.digest);
    }
    for (const RequestDigest part : content.parts) {
        if (lacewing::recordCompletion(this->parts, part)) {
            this->queueCompletion(this->unsentPartCompletions, part);
        }
    }
}

bool CrashWatch::clearRequest(RequestDigest digest)
{
    if (lacewing::suspicionOf(this->ledger, digest) == Suspicion::Proven) {
        this->counts.proofsCleared += 1;
        logEvent("request_proof_cleared", {{"digest", describe(digest)}});
    }
    const bool cleared = lacewing::recordCompletion(this->ledger, digest);
    if (cleared && this->onCleared) {
        asio::post(this->context,
                   [this, digest] { runGuarded("crash_cleared", [this, digest] { this->onCleared(digest); }); });
    }
    return cleared;
}

void CrashWatch::recordAnswer(const EndpointName &endpoint, std::int64_t born, TimePoint connectedAt, TimePoint sentAt)
{
    if (this->ledger.crashes.empty() && this->unconfirmed.empty()) {
        return;
    }
    const CrashKey key = crashKeyOf(endpoint, born);
    const auto found = this->unconfirmed.find(key);
    if (found != this->unconfirmed.end() && connectedAt < found->second.first && sentAt > found->second.latest) {
        this->unconfirmed.erase(found); // the connection broke for another reason
    }
    const auto reportedAt = firstReportTime(this->ledger, key);
    if (!reportedAt || connectedAt + maxReportDelay > *reportedAt || sentAt <= *reportedAt) {
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
        if (isReplacedBy(crash.incarnation, entry)) {
            ended.push_back(key);
        }
    }
    for (const CrashKey key : ended) {
        this->confirm(key, "next_incarnation");
    }
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
    this->endProofs();
    const std::vector<RequestDigest> requests = reviewLedger(this->ledger, now);
    for (const RequestDigest digest : requests) {
        this->counts.proven += 1;
        this->logProof(digest);
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

void CrashWatch::endProofs()
{
    endPartProofs(this->parts, this->clock.now());
    for (const RequestDigest digest : lacewing::endProofs(this->ledger, this->clock.now())) {
        this->counts.proofsEnded += 1;
        logEvent("request_proof_ended", {{"digest", describe(digest)}});
    }
}

void CrashWatch::logProof(RequestDigest digest) const
{
    const Suspect &suspect = this->ledger.suspects.at(digest);
    const CrashSpan span = spanOf(this->ledger, digest);
    const std::size_t independent = independentCrashes(this->ledger, digest, suspect, this->clock.now()).size();
    logEvent("request_proven_to_crash",
             {{"digest", describe(digest)},
              {"crashes", std::to_string(span.crashes)},
              {"independent", std::to_string(independent)},
              {"span_ms", std::to_string(toMilliseconds(span.length))},
              {"proofs_ended", std::to_string(suspect.proofsEnded)},
              {"holds_ms", std::to_string(toMilliseconds(proofTime(suspect.proofsEnded)))}});
}

void CrashWatch::removeExpired()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->unconfirmed,
                  [now](const auto &entry) { return now - entry.second.first >= unconfirmedRetention; });
}

} // namespace lacewing
