// Crashes and suspects refer to each other by key and digest. Linear scans suffice, as there are tens of entries.

#include "crashledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "crashevidence.h"

namespace lacewing {

namespace {

/// Crashes kept for each suspect, more than a proof needs.
constexpr std::size_t maxChargedCrashes = 32;

ChargedCrash *findCharge(Suspect &suspect, CrashKey key)
{
    const auto found = std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
                                    [key](const ChargedCrash &crash) { return crash.key == key; });
    return found == suspect.crashes.end() ? nullptr : &*found;
}

EndpointCrash *findRecorded(CrashLedger &ledger, CrashKey key)
{
    const auto found = std::find_if(ledger.crashes.begin(), ledger.crashes.end(),
                                    [key](const EndpointCrash &crash) { return crash.key == key; });
    return found == ledger.crashes.end() ? nullptr : &*found;
}

/// Clears a crash of a request, unless the request is proven.
void clearCharge(CrashLedger &ledger, RequestDigest digest, CrashKey key)
{
    const auto suspect = ledger.suspects.find(digest);
    if (suspect == ledger.suspects.end() || suspect->second.proven) {
        return;
    }
    if (ChargedCrash *known = findCharge(suspect->second, key)) {
        known->cleared = true;
    }
}

/// Evicts an eighth of the suspects at once, those without a proof and with the oldest activity first. A search for the
/// oldest suspect at each insertion takes too long when thousands of suspects arrive at a time.
void evictLeastRecent(CrashLedger &ledger)
{
    using EvictionRank = std::tuple<bool, TimePoint, RequestDigest>;
    std::vector<EvictionRank> all;
    all.reserve(ledger.suspects.size());
    for (const auto &[digest, suspect] : ledger.suspects) {
        all.emplace_back(suspect.proven, suspect.lastSeen, digest);
    }
    const auto kept = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 8);
    std::nth_element(all.begin(), kept, all.end());
    std::for_each(all.begin(), kept + 1,
                  [&ledger](const EvictionRank &quiet) { ledger.suspects.erase(std::get<RequestDigest>(quiet)); });
}

void charge(CrashLedger &ledger, RequestDigest digest, const ChargedCrash &crash)
{
    const auto found = ledger.suspects.find(digest);
    if (found == ledger.suspects.end() && ledger.suspects.size() >= maxSuspects) {
        evictLeastRecent(ledger);
    }
    Suspect &suspect = ledger.suspects[digest];
    if (ChargedCrash *known = findCharge(suspect, crash.key)) {
        known->cleared = known->cleared || crash.cleared;
        known->late = known->late && crash.late;
        if (known->sentAt && crash.sentAt) {
            known->sentAt = std::max(*known->sentAt, *crash.sentAt);
        }
        return;
    }
    if (suspect.crashes.size() >= maxChargedCrashes) {
        suspect.crashes.erase(suspect.crashes.begin());
    }
    suspect.crashes.push_back(crash);
    suspect.lastSeen = crash.firstReported;
}

/// @return whether another request of one of these crashes has at least as many crashes
bool hasRival(const CrashLedger &ledger, RequestDigest digest, const std::vector<CrashKey> &counted, TimePoint now)
{
    for (const CrashKey key : counted) {
        const EndpointCrash *crash = findCrash(ledger, key);
        if (crash == nullptr) {
            continue;
        }
        for (const RequestDigest other : crash->inProgress) {
            const auto suspect = ledger.suspects.find(other);
            if (other == digest || suspect == ledger.suspects.end() || suspect->second.proven) {
                continue;
            }
            if (independentCrashes(ledger, other, suspect->second, now).size() >= counted.size()) {
                return true;
            }
        }
    }
    return false;
}

/// @return up to limit of the digests, different ones in each round
std::vector<RequestDigest> selectRoundRobin(std::vector<RequestDigest> all, std::uint64_t round, std::size_t limit)
{
    if (all.size() <= limit) {
        return all;
    }
    std::sort(all.begin(), all.end());
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(round * limit % all.size()), all.end());
    all.resize(limit);
    return all;
}

void prove(Suspect &suspect, TimePoint now)
{
    suspect.proven = true;
    suspect.provenAt = now;
}

SuspectStatement statementOf(const CrashLedger &ledger, RequestDigest digest, TimePoint now)
{
    const Suspect &suspect = ledger.suspects.at(digest);
    SuspectStatement statement;
    statement.digest = digest;
    statement.charged = independentCrashes(ledger, digest, suspect, now);
    for (const ChargedCrash &crash : suspect.crashes) {
        if (crash.cleared) {
            statement.cleared.push_back(crash.key);
        }
    }
    return statement;
}

} // namespace

void clearExplainedCharges(CrashLedger &ledger, RequestDigest proven)
{
    for (const ChargedCrash &charged : ledger.suspects.at(proven).crashes) {
        const EndpointCrash *crash = findCrash(ledger, charged.key);
        if (crash == nullptr || charged.cleared) {
            continue;
        }
        for (const RequestDigest other : crash->inProgress) {
            clearCharge(ledger, other, charged.key);
        }
    }
}

void removeExpired(CrashLedger &ledger, TimePoint now)
{
    std::erase_if(ledger.suspects, [now](const auto &entry) {
        return !entry.second.proven && now - entry.second.lastSeen >= suspicionRetention;
    });
    std::erase_if(ledger.crashes,
                  [now](const EndpointCrash &crash) { return now - crash.firstReported >= suspicionRetention; });
}

Duration proofTime(std::size_t proofsEnded)
{
    constexpr std::size_t maxDoublings = 8;
    return std::min(firstProofTime * (1 << std::min(proofsEnded, maxDoublings)), proofRetention);
}

std::vector<RequestDigest> endProofs(CrashLedger &ledger, TimePoint now)
{
    std::vector<RequestDigest> ended;
    for (auto &[digest, suspect] : ledger.suspects) {
        if (suspect.proven && now - suspect.provenAt >= proofTime(suspect.proofsEnded)) {
            suspect.proven = false;
            suspect.proofsEnded += 1;
            suspect.lastSeen = now;
            ended.push_back(digest);
        }
    }
    return ended;
}

CrashKey crashKeyOf(std::string_view endpoint, std::int64_t born)
{
    return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), static_cast<std::uint64_t>(born));
}

void recordCrash(CrashLedger &ledger, CrashKey key, const ServiceName &service, const InProgress &inProgress,
                 TimePoint now)
{
    EndpointCrash *crash = findRecorded(ledger, key);
    if (crash == nullptr) {
        if (ledger.crashes.size() >= maxCrashes) {
            ledger.crashes.erase(ledger.crashes.begin());
        }
        crash = &ledger.crashes.emplace_back(EndpointCrash {key, service, now, {}});
    }
    const auto add = [&ledger, crash, &inProgress, now](RequestDigest digest, bool late) {
        const bool known = contains(*crash, digest);
        if (!known && crash->inProgress.size() >= maxInProgressPerCrash) {
            return;
        }
        if (!known) {
            crash->inProgress.push_back(digest);
        }
        const auto age = inProgress.ages.find(digest);
        const TimePoint sentAt = age == inProgress.ages.end() ? now : now - age->second;
        charge(ledger, digest, {crash->key, crash->firstReported, late, false, sentAt});
    };
    for (const RequestDigest digest : inProgress.early) {
        add(digest, false);
    }
    for (const RequestDigest digest : inProgress.late) {
        add(digest, true);
    }
}

std::optional<TimePoint> firstReportTime(const CrashLedger &ledger, CrashKey key)
{
    const EndpointCrash *crash = findCrash(ledger, key);
    return crash == nullptr ? std::nullopt : std::optional<TimePoint>(crash->firstReported);
}

bool refuteCrash(CrashLedger &ledger, CrashKey key)
{
    const EndpointCrash *crash = findCrash(ledger, key);
    if (crash == nullptr) {
        return false;
    }
    for (const RequestDigest digest : crash->inProgress) {
        const auto suspect = ledger.suspects.find(digest);
        if (suspect == ledger.suspects.end()) {
            continue;
        }
        std::erase_if(suspect->second.crashes, [key](const ChargedCrash &charged) { return charged.key == key; });
        suspect->second.proven = suspect->second.proven && suspect->second.crashes.size() >= crashesToProve;
    }
    std::erase_if(ledger.crashes, [key](const EndpointCrash &other) { return other.key == key; });
    return true;
}

bool recordCompletion(CrashLedger &ledger, RequestDigest digest)
{
    const auto found = ledger.suspects.find(digest);
    if (found == ledger.suspects.end()) {
        return false;
    }
    bool counted = found->second.proven;
    for (ChargedCrash &crash : found->second.crashes) {
        counted = counted || !crash.cleared;
        crash.cleared = true;
    }
    found->second.proven = false;
    found->second.proofsEnded = 0;
    return counted;
}

void applyStatement(CrashLedger &ledger, const SuspectStatement &statement, TimePoint now)
{
    for (const CrashKey key : statement.cleared) {
        charge(ledger, statement.digest, {key, now, false, true, std::nullopt});
    }
    for (const CrashKey key : statement.charged) {
        charge(ledger, statement.digest, {key, now, false, false, std::nullopt});
    }
}

std::vector<RequestDigest> reviewLedger(CrashLedger &ledger, TimePoint now)
{
    endProofs(ledger, now);
    removeExpired(ledger, now);
    std::vector<std::pair<std::size_t, RequestDigest>> candidates;
    for (const auto &[digest, suspect] : ledger.suspects) {
        if (suspect.proven || suspect.crashes.size() < crashesToProve) {
            continue;
        }
        const std::size_t counted = independentCrashes(ledger, digest, suspect, now).size();
        const std::size_t all = independentCrashes(ledger, digest, suspect, now, CrashKinds::EarlyAndLate).size();
        if (counted >= crashesToProve + suspect.proofsEnded || all >= crashesToProveAlone + suspect.proofsEnded) {
            candidates.emplace_back(all, digest);
        }
    }
    std::sort(candidates.rbegin(),
              candidates.rend()); // a request with more crashes explains those of the requests after it
    std::vector<RequestDigest> proven;
    for (const auto &[crashes, digest] : candidates) {
        Suspect &suspect = ledger.suspects.at(digest);
        if (crashes >= crashesToProveAlone + suspect.proofsEnded) {
            prove(suspect, now);
            proven.push_back(digest);
        }
    }
    std::for_each(proven.begin(), proven.end(),
                  [&ledger](RequestDigest digest) { clearExplainedCharges(ledger, digest); });
    for (const auto &[unused, digest] : candidates) {
        Suspect &suspect = ledger.suspects.at(digest);
        const std::vector<CrashKey> counted = independentCrashes(ledger, digest, suspect, now);
        const bool enough = counted.size() >= crashesToProve + suspect.proofsEnded;
        if (!suspect.proven && enough && !hasRival(ledger, digest, counted, now)) {
            prove(suspect, now);
            clearExplainedCharges(ledger, digest);
            proven.push_back(digest);
        }
    }
    return proven;
}

bool hasUnsettledCrash(const CrashLedger &ledger, TimePoint now)
{
    return std::any_of(ledger.crashes.begin(), ledger.crashes.end(),
                       [now](const EndpointCrash &crash) { return now - crash.firstReported < settlingTime; });
}

std::vector<CrashKey> crashesOf(const CrashLedger &ledger, RequestDigest digest)
{
    std::vector<CrashKey> keys;
    const auto found = ledger.suspects.find(digest);
    if (found != ledger.suspects.end()) {
        for (const ChargedCrash &crash : found->second.crashes) {
            if (!crash.cleared) {
                keys.push_back(crash.key);
            }
        }
    }
    return keys;
}

CrashSpan spanOf(const CrashLedger &ledger, RequestDigest digest)
{
    CrashSpan span;
    const auto found = ledger.suspects.find(digest);
    if (found == ledger.suspects.end()) {
        return span;
    }
    std::optional<TimePoint> first;
    for (const ChargedCrash &crash : found->second.crashes) {
        if (!crash.cleared) {
            first = std::min(first.value_or(crash.firstReported), crash.firstReported);
            span.crashes += 1;
            span.length = std::max(span.length, crash.firstReported - *first);
        }
    }
    return span;
}

Suspicion suspicionOf(const CrashLedger &ledger, RequestDigest digest)
{
    const auto found = ledger.suspects.find(digest);
    if (found == ledger.suspects.end()) {
        return Suspicion::None;
    }
    if (found->second.proven) {
        return Suspicion::Proven;
    }
    const auto counts = [](const ChargedCrash &crash) { return !crash.cleared; };
    const bool any = std::any_of(found->second.crashes.begin(), found->second.crashes.end(), counts);
    return any ? Suspicion::Suspected : Suspicion::None;
}

std::vector<SuspectStatement> selectStatements(const CrashLedger &ledger, std::uint64_t round, std::size_t limit,
                                               TimePoint now)
{
    std::vector<RequestDigest> proven;
    std::vector<RequestDigest> others;
    for (const auto &[digest, suspect] : ledger.suspects) {
        if (suspect.crashes.size() >= 2) {
            (suspect.proven ? proven : others).push_back(digest);
        }
    }
    std::vector<RequestDigest> selected = selectRoundRobin(std::move(proven), round, (limit + 1) / 2);
    const std::vector<RequestDigest> rest = selectRoundRobin(std::move(others), round, limit - selected.size());
    selected.insert(selected.end(), rest.begin(), rest.end());
    std::vector<SuspectStatement> statements;
    statements.reserve(selected.size());
    for (const RequestDigest digest : selected) {
        statements.push_back(statementOf(ledger, digest, now));
    }
    return statements;
}

} // namespace lacewing
