// What VMs tell each other about crashes: reports of requests in progress, whole answers, and suspects told again.

#include "crashwatch.h"

#include <algorithm>
#include <span>
#include <utility>

#include "clock.h"
#include "handlerguard.h"
#include "promptparts.h"

namespace lacewing {

namespace {

/// Bound of the digests that wait to be sent. A VM has at most hundreds of requests in progress.
constexpr std::size_t maxUnsent = 512;
/// Keeps a datagram below the size at which networks fragment it.
constexpr std::size_t maxDigestsPerDatagram = 96;
/// The names of an endpoint and its service take about as much space as this many digests.
constexpr std::size_t namesSizeInDigests = 5;
/// Suspects in one periodic update, which is one datagram.
constexpr std::size_t maxStatementsPerUpdate = 4;
/// Completions are numerous after many endpoints crash, and not urgent, so they are batched for longer.
constexpr Duration completionDelay = milliseconds(200);

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

wire::SuspectStatement toWire(const SuspectStatement &statement)
{
    wire::SuspectStatement suspect;
    suspect.digest = toWire(statement.digest);
    suspect.charged = toWire(statement.charged);
    suspect.cleared = toWire(statement.cleared);
    return suspect;
}

InProgress requestsOf(const wire::CrashReport &report)
{
    InProgress requests {fromWire(report.digests), fromWire(report.lateDigests)};
    for (std::size_t index = 0; index < std::min(report.ages.size(), report.digests.size()); ++index) {
        requests.ages.emplace(fromWire(report.digests[index]), milliseconds(std::max(0, report.ages[index])));
    }
    return requests;
}

std::vector<std::int32_t> agesOf(std::span<const std::int64_t> digests,
                                 const std::unordered_map<RequestDigest, Duration> &known)
{
    constexpr std::int64_t longestAge = toMilliseconds(suspicionRetention);
    std::vector<std::int32_t> ages;
    for (const std::int64_t digest : digests) {
        const auto found = known.find(fromWire(digest));
        const std::int64_t age = found == known.end() ? 0 : toMilliseconds(found->second);
        ages.push_back(static_cast<std::int32_t>(std::min(age, longestAge)));
    }
    return ages;
}

SuspectStatement fromWire(const wire::SuspectStatement &suspect)
{
    return {fromWire(suspect.digest), fromWire(suspect.charged), fromWire(suspect.cleared)};
}

} // namespace

void CrashWatch::queueReports(const EndpointIncarnation &incarnation, const ContentInProgress &inProgress)
{
    const auto &ages = inProgress.requests.ages;
    this->queueReport(incarnation, inProgress.requests.early, DigestKind::Requests, ages);
    this->queueReport(incarnation, inProgress.requests.late, DigestKind::LateRequests, ages);
    this->queueReport(incarnation, inProgress.parts.early, DigestKind::Parts, ages);
    this->queueReport(incarnation, inProgress.parts.late, DigestKind::LateParts, ages);
}

void CrashWatch::queueReport(const EndpointIncarnation &incarnation, const std::vector<RequestDigest> &digests,
                             DigestKind kind, const std::unordered_map<RequestDigest, Duration> &ages)
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
        const std::vector<std::int64_t> part(begin, end);
        switch (kind) {
        case DigestKind::Requests:
            report.digests = part;
            report.__set_ages(agesOf(part, ages));
            break;
        case DigestKind::LateRequests:
            report.lateDigests = part;
            break;
        case DigestKind::Parts:
            report.__set_partDigests(part);
            break;
        case DigestKind::LateParts:
            report.__set_latePartDigests(part);
            break;
        }
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
        const std::size_t digests = report.digests.size() + report.lateDigests.size() + report.partDigests.size()
            + report.latePartDigests.size();
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

void CrashWatch::queueCompletion(std::vector<std::int64_t> &queue, RequestDigest digest)
{
    const std::size_t unsent = this->unsentCompletions.size() + this->unsentPartCompletions.size();
    if (unsent >= maxUnsent) {
        this->counts.untold += 1;
        return;
    }
    queue.push_back(toWire(digest));
    if (unsent > 0) {
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
    const auto flush = [this](const std::vector<std::int64_t> &digests, bool areParts) {
        for (std::size_t first = 0; first < digests.size(); first += maxDigestsPerDatagram) {
            const auto begin = digests.begin() + static_cast<std::ptrdiff_t>(first);
            const auto count = std::min(maxDigestsPerDatagram, digests.size() - first);
            const std::vector<std::int64_t> some(begin, begin + static_cast<std::ptrdiff_t>(count));
            wire::CrashNews update;
            if (areParts) {
                update.__set_completedParts(some);
            } else {
                update.completed = some;
            }
            this->broadcast(update);
        }
    };
    flush(std::exchange(this->unsentCompletions, {}), false);
    flush(std::exchange(this->unsentPartCompletions, {}), true);
}

void CrashWatch::take(const wire::CrashNews &update)
{
    const TimePoint now = this->clock.now();
    for (const wire::CrashReport &report : update.crashes) {
        const CrashKey key = crashKeyOf(report.endpoint, report.born);
        this->counts.crashes += firstReportTime(this->ledger, key) ? 0 : 1;
        recordCrash(this->ledger, key, report.serviceName, requestsOf(report), now);
        recordCrash(this->parts, key, report.serviceName,
                    {fromWire(report.partDigests), fromWire(report.latePartDigests)}, now);
        this->confirm(key, "told");
    }
    for (const std::int64_t digest : update.completed) {
        this->clearRequest(fromWire(digest));
    }
    for (const std::int64_t part : update.completedParts) {
        lacewing::recordCompletion(this->parts, fromWire(part));
        std::erase(this->unsentPartCompletions, part); // hundreds of VMs would tell the same of a popular part
    }
    for (const std::int64_t key : update.refuted) {
        this->refute(fromWire(key));
    }
    for (const wire::SuspectStatement &suspect : update.suspects) {
        applyStatement(this->ledger, fromWire(suspect), now);
    }
    bool anyProven = false;
    for (const wire::SuspectStatement &part : update.suspectParts) {
        anyProven = applyPartStatement(this->parts, fromWire(part), now) || anyProven;
    }
    if (anyProven && this->onProven) {
        this->onProven();
    }
    if (!update.crashes.empty() || !update.suspects.empty() || !update.suspectParts.empty()) {
        this->scheduleReview();
    }
}

wire::CrashNews CrashWatch::periodicUpdate()
{
    const TimePoint now = this->clock.now();
    this->endProofs(); // without any news there is no review
    wire::CrashNews update;
    for (const SuspectStatement &one : selectStatements(this->ledger, this->round, maxStatementsPerUpdate, now)) {
        update.suspects.push_back(toWire(one));
    }
    for (const SuspectStatement &one : selectPartStatements(this->parts, this->round, maxStatementsPerUpdate, now)) {
        update.__isset.suspectParts = true;
        update.suspectParts.push_back(toWire(one));
    }
    this->round += 1;
    return update;
}

} // namespace lacewing
