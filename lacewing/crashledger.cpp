// Crashes and suspects refer to each other by key and digest. Both are few: the scans below are over tens of entries.

#include "crashledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace lacewing {

namespace {

/// Crashes of one suspect that are kept: more than prove it.
constexpr std::size_t mostChargedCrashes = 16;

ChargedCrash *findCharge(Suspect &suspect, CrashKey key)
{
    const auto found = std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
                                    [key](const ChargedCrash &crash) { return crash.key == key; });
    return found == suspect.crashes.end() ? nullptr : &*found;
}

/// For a ledger that may be changed or not.
template<typename Ledger>
auto findCrash(Ledger &ledger, CrashKey key) -> decltype(ledger.crashes.data())
{
    const auto found = std::find_if(ledger.crashes.begin(), ledger.crashes.end(),
                                    [key](const EndpointCrash &crash) { return crash.key == key; });
    return found == ledger.crashes.end() ? nullptr : &*found;
}

/// A crash no longer counts against a request, unless that is proven.
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

/// Makes room for some hundred suspects at once: looking for the quietest at each new one would take too long when
/// thousands come at a time.
void forgetQuietest(CrashLedger &ledger)
{
    using Quietness = std::tuple<bool, TimePoint, RequestDigest>;
    std::vector<Quietness> all;
    all.reserve(ledger.suspects.size());
    for (const auto &[digest, suspect] : ledger.suspects) {
        all.emplace_back(suspect.proven, suspect.seen, digest);
    }
    const auto kept = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 8);
    std::nth_element(all.begin(), kept, all.end());
    std::for_each(all.begin(), kept + 1,
                  [&ledger](const Quietness &quiet) { ledger.suspects.erase(std::get<RequestDigest>(quiet)); });
}

void charge(CrashLedger &ledger, RequestDigest digest, const ChargedCrash &crash)
{
    const auto found = ledger.suspects.find(digest);
    if (found == ledger.suspects.end() && ledger.suspects.size() >= mostSuspects) {
        forgetQuietest(ledger);
    }
    Suspect &suspect = ledger.suspects[digest];
    if (ChargedCrash *known = findCharge(suspect, crash.key)) {
        known->cleared = known->cleared || crash.cleared;
        known->late = known->late && crash.late;
        return;
    }
    if (suspect.crashes.size() >= mostChargedCrashes) {
        suspect.crashes.erase(suspect.crashes.begin());
    }
    suspect.crashes.push_back(crash);
    suspect.seen = crash.told;
}

bool contains(const EndpointCrash &crash, RequestDigest digest)
{
    return std::find(crash.inProgress.begin(), crash.inProgress.end(), digest) != crash.inProgress.end();
}

/// Whether an endpoint of the service ended about then without the request being in progress there.
bool hasCommonReason(const CrashLedger &ledger, const EndpointCrash &crash, RequestDigest digest)
{
    return std::any_of(ledger.crashes.begin(), ledger.crashes.end(), [&](const EndpointCrash &other) {
        const Duration apart = std::chrono::abs(other.told - crash.told);
        return other.service == crash.service && apart < commonReasonWindow && !contains(other, digest);
    });
}

/// The crashes that count: one for each group that may have a common reason.
std::vector<CrashKey> countedCrashes(const CrashLedger &ledger, RequestDigest digest, const Suspect &suspect,
                                     TimePoint now, bool alsoLate = false)
{
    std::vector<CrashKey> counted;
    TimePoint groupSince;
    bool inGroup = false;
    for (const ChargedCrash &charged : suspect.crashes) {
        if (charged.cleared || (charged.late && !alsoLate) || now - charged.told < settlingTime) {
            continue;
        }
        if (inGroup && charged.told - groupSince < commonReasonWindow) {
            continue;
        }
        const EndpointCrash *crash = findCrash(ledger, charged.key);
        inGroup = crash != nullptr && hasCommonReason(ledger, *crash, digest);
        groupSince = charged.told;
        counted.push_back(charged.key);
    }
    return counted;
}

/// Whether another request of one of its crashes has as many against it.
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
            if (countedCrashes(ledger, other, suspect->second, now).size() >= counted.size()) {
                return true;
            }
        }
    }
    return false;
}

/// What is proven explains its crashes.
void clearOthers(CrashLedger &ledger, RequestDigest proven)
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

void forgetOld(CrashLedger &ledger, TimePoint now)
{
    std::erase_if(ledger.suspects, [now](const auto &entry) {
        return now - entry.second.seen >= (entry.second.proven ? proofMemory : suspicionMemory);
    });
    std::erase_if(ledger.crashes, [now](const EndpointCrash &crash) { return now - crash.told >= suspicionMemory; });
}

/// Some of them, others at each turn.
std::vector<RequestDigest> takeInTurn(std::vector<RequestDigest> all, std::uint64_t turn, std::size_t most)
{
    if (all.size() <= most) {
        return all;
    }
    std::sort(all.begin(), all.end());
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(turn * most % all.size()), all.end());
    all.resize(most);
    return all;
}

SuspectStatement statementOf(const CrashLedger &ledger, RequestDigest digest, TimePoint now)
{
    const Suspect &suspect = ledger.suspects.at(digest);
    SuspectStatement statement;
    statement.digest = digest;
    statement.charged = countedCrashes(ledger, digest, suspect, now);
    for (const ChargedCrash &crash : suspect.crashes) {
        if (crash.cleared) {
            statement.cleared.push_back(crash.key);
        }
    }
    return statement;
}

} // namespace

CrashKey crashKeyOf(std::string_view endpoint, std::int64_t born)
{
    return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), static_cast<std::uint64_t>(born));
}

void noteCrash(CrashLedger &ledger, CrashKey key, const ServiceName &service, const InProgress &inProgress,
               TimePoint now)
{
    EndpointCrash *crash = findCrash(ledger, key);
    if (crash == nullptr) {
        if (ledger.crashes.size() >= mostCrashes) {
            ledger.crashes.erase(ledger.crashes.begin());
        }
        crash = &ledger.crashes.emplace_back(EndpointCrash {key, service, now, {}});
    }
    const auto add = [&ledger, crash](RequestDigest digest, bool late) {
        const bool known = contains(*crash, digest);
        if (!known && crash->inProgress.size() >= mostInProgress) {
            return;
        }
        if (!known) {
            crash->inProgress.push_back(digest);
        }
        charge(ledger, digest, {crash->key, crash->told, late, false});
    };
    for (const RequestDigest digest : inProgress.early) {
        add(digest, false);
    }
    for (const RequestDigest digest : inProgress.late) {
        add(digest, true);
    }
}

std::optional<TimePoint> whenNoted(const CrashLedger &ledger, CrashKey key)
{
    const EndpointCrash *crash = findCrash(ledger, key);
    return crash == nullptr ? std::nullopt : std::optional<TimePoint>(crash->told);
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

bool noteCompletion(CrashLedger &ledger, RequestDigest digest)
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
    return counted;
}

void noteStatement(CrashLedger &ledger, const SuspectStatement &statement, TimePoint now)
{
    for (const CrashKey key : statement.cleared) {
        charge(ledger, statement.digest, {key, now, false, true});
    }
    for (const CrashKey key : statement.charged) {
        charge(ledger, statement.digest, {key, now, false, false});
    }
}

std::vector<RequestDigest> reviewLedger(CrashLedger &ledger, TimePoint now)
{
    forgetOld(ledger, now);
    std::vector<std::pair<std::size_t, RequestDigest>> candidates;
    for (const auto &[digest, suspect] : ledger.suspects) {
        if (suspect.proven || suspect.crashes.size() < crashesToProve) {
            continue;
        }
        const std::size_t counted = countedCrashes(ledger, digest, suspect, now).size();
        const std::size_t all = countedCrashes(ledger, digest, suspect, now, true).size();
        if (counted >= crashesToProve || all >= crashesToProveAlone) {
            candidates.emplace_back(all, digest);
        }
    }
    std::sort(candidates.rbegin(), candidates.rend()); // who leads explains the crashes of those behind
    std::vector<RequestDigest> proven;
    for (const auto &[crashes, digest] : candidates) {
        if (crashes >= crashesToProveAlone) {
            ledger.suspects.at(digest).proven = true;
            proven.push_back(digest);
        }
    }
    std::for_each(proven.begin(), proven.end(), [&ledger](RequestDigest digest) { clearOthers(ledger, digest); });
    for (const auto &[unused, digest] : candidates) {
        Suspect &suspect = ledger.suspects.at(digest);
        const std::vector<CrashKey> counted = countedCrashes(ledger, digest, suspect, now);
        if (!suspect.proven && counted.size() >= crashesToProve && !hasRival(ledger, digest, counted, now)) {
            suspect.proven = true;
            clearOthers(ledger, digest);
            proven.push_back(digest);
        }
    }
    return proven;
}

bool hasUnsettled(const CrashLedger &ledger, TimePoint now)
{
    return std::any_of(ledger.crashes.begin(), ledger.crashes.end(),
                       [now](const EndpointCrash &crash) { return now - crash.told < settlingTime; });
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

void noteRefusal(CrashLedger &ledger, RequestDigest digest, TimePoint now)
{
    const auto found = ledger.suspects.find(digest);
    if (found != ledger.suspects.end()) {
        found->second.seen = now;
    }
}

std::vector<SuspectStatement> statementsOf(const CrashLedger &ledger, std::uint64_t turn, std::size_t most,
                                           TimePoint now)
{
    std::vector<RequestDigest> proven;
    std::vector<RequestDigest> others;
    for (const auto &[digest, suspect] : ledger.suspects) {
        if (suspect.crashes.size() >= 2) {
            (suspect.proven ? proven : others).push_back(digest);
        }
    }
    std::vector<RequestDigest> told = takeInTurn(std::move(proven), turn, (most + 1) / 2);
    const std::vector<RequestDigest> rest = takeInTurn(std::move(others), turn, most - told.size());
    told.insert(told.end(), rest.begin(), rest.end());
    std::vector<SuspectStatement> statements;
    statements.reserve(told.size());
    for (const RequestDigest digest : told) {
        statements.push_back(statementOf(ledger, digest, now));
    }
    return statements;
}

} // namespace lacewing
