// Rivals and counted crashes are those of crashledger. The parts with the most crashes are decided first, as they
// explain crashes of the others.

#include "promptparts.h"

#include <algorithm>
#include <string>
#include <utility>

#include <xxhash.h>

namespace lacewing {

namespace {

bool wasCleared(const Suspect &suspect)
{
    return std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                       [](const ChargedCrash &crash) { return crash.cleared; });
}

/// Ends proofs that are old: the next crash proves the part again.
void endOldProofs(CrashLedger &parts, TimePoint now)
{
    constexpr std::size_t keptCrashes = crashesToProve - 1;
    for (auto &[digest, suspect] : parts.suspects) {
        if (!suspect.proven || now - suspect.lastSeen < proofRetention) {
            continue;
        }
        suspect.proven = false;
        suspect.lastSeen = now;
        std::erase_if(suspect.crashes, [](const ChargedCrash &crash) { return crash.cleared; });
        if (suspect.crashes.size() > keptCrashes) {
            suspect.crashes.erase(suspect.crashes.begin(), suspect.crashes.end() - keptCrashes);
        }
    }
}

/// Clears crashes of requests with a proven part that were on their way when it was proven.
void clearExplainedByProven(CrashLedger &parts)
{
    std::vector<RequestDigest> proven;
    for (const auto &[digest, suspect] : parts.suspects) {
        if (suspect.proven) {
            proven.push_back(digest);
        }
    }
    for (const RequestDigest digest : proven) {
        clearExplainedCharges(parts, digest);
    }
}

bool isProvable(const CrashLedger &parts, RequestDigest digest, const Suspect &suspect,
                const std::vector<CrashKey> &counted, TimePoint now)
{
    if (counted.size() < crashesToProve) {
        return false;
    }
    const bool alone = counted.size() >= crashesToProveAlone && !wasCleared(suspect);
    return alone || !hasRival(parts, digest, counted, now);
}

} // namespace

RequestDigest partDigestOf(std::string_view service, std::string_view part)
{
    std::string text(service);
    text += '\0';
    text += part;
    return XXH3_64bits(text.data(), text.size());
}

void clearExplainedCrashes(CrashLedger &parts, std::span<const CrashKey> crashes)
{
    for (auto &[digest, suspect] : parts.suspects) {
        if (suspect.proven) {
            continue;
        }
        for (ChargedCrash &charged : suspect.crashes) {
            const bool explained = std::find(crashes.begin(), crashes.end(), charged.key) != crashes.end();
            charged.cleared = charged.cleared || explained;
        }
    }
}

std::vector<RequestDigest> reviewParts(CrashLedger &parts, TimePoint now)
{
    endOldProofs(parts, now);
    removeExpired(parts, now);
    clearExplainedByProven(parts);
    std::vector<std::pair<std::size_t, RequestDigest>> candidates;
    for (const auto &[digest, suspect] : parts.suspects) {
        const std::size_t counted = suspect.proven ? 0 : countedCrashes(parts, digest, suspect, now).size();
        if (counted >= crashesToProve) {
            candidates.emplace_back(counted, digest);
        }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    std::vector<RequestDigest> proven;
    for (const auto &[unused, digest] : candidates) {
        const Suspect &suspect = parts.suspects.at(digest);
        if (isProvable(parts, digest, suspect, countedCrashes(parts, digest, suspect, now), now)) {
            proven.push_back(digest);
        }
    }
    for (const RequestDigest digest : proven) {
        parts.suspects.at(digest).proven = true;
    }
    for (const RequestDigest digest : proven) {
        clearExplainedCharges(parts, digest);
    }
    return proven;
}

Suspicion suspicionOfParts(const CrashLedger &parts, std::span<const RequestDigest> digests)
{
    Suspicion greatest = Suspicion::None;
    for (const RequestDigest digest : digests) {
        const auto found = parts.suspects.find(digest);
        if (found == parts.suspects.end()) {
            continue;
        }
        if (found->second.proven) {
            return Suspicion::Proven;
        }
        const bool suspected = found->second.crashes.size() >= 2 && !wasCleared(found->second);
        greatest = suspected ? Suspicion::Suspected : greatest;
    }
    return greatest;
}

void applyPartStatement(CrashLedger &parts, const SuspectStatement &statement, TimePoint now)
{
    applyStatement(parts, statement, now);
    const auto found = parts.suspects.find(statement.digest);
    if (found == parts.suspects.end() || !found->second.proven) {
        return;
    }
    const auto counts = [](const ChargedCrash &crash) { return !crash.cleared; };
    const auto left = std::count_if(found->second.crashes.begin(), found->second.crashes.end(), counts);
    found->second.proven = left >= static_cast<std::ptrdiff_t>(crashesToProve);
}

std::vector<SuspectStatement> selectPartStatements(const CrashLedger &parts, std::uint64_t round, std::size_t limit,
                                                   TimePoint now)
{
    std::vector<SuspectStatement> statements = selectStatements(parts, round, limit, now);
    for (SuspectStatement &statement : statements) {
        if (!parts.suspects.at(statement.digest).proven) {
            statement.charged.clear();
        }
    }
    std::erase_if(statements, [](const SuspectStatement &one) { return one.charged.empty() && one.cleared.empty(); });
    return statements;
}

} // namespace lacewing
