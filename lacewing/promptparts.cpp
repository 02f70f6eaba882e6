// Rivals and counted crashes are those of crashledger. The parts with the most crashes are decided first, as they
// explain crashes of the others.

#include "promptparts.h"

#include <algorithm>
#include <optional>
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

/// @return number of crashes of a part that count, those within partCommonCauseWindow of each other as one
std::size_t countCrashes(const Suspect &suspect, bool includeLate, TimePoint now)
{
    std::vector<TimePoint> times;
    for (const ChargedCrash &crash : suspect.crashes) {
        if (!crash.cleared && (includeLate || !crash.late) && now - crash.firstReported >= settlingTime) {
            times.push_back(crash.firstReported);
        }
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<TimePoint> groupSince;
    for (const TimePoint time : times) {
        if (!groupSince || time - *groupSince >= partCommonCauseWindow) {
            groupSince = time;
            count += 1;
        }
    }
    return count;
}

/// @return whether another part of a crash of this part has at least as many crashes
bool hasRivalPart(const CrashLedger &parts, RequestDigest digest, std::size_t count, TimePoint now)
{
    const std::vector<CrashKey> crashes = crashesOf(parts, digest);
    for (const EndpointCrash &crash : parts.crashes) {
        if (std::find(crashes.begin(), crashes.end(), crash.key) == crashes.end()) {
            continue;
        }
        for (const RequestDigest other : crash.inProgress) {
            const auto suspect = parts.suspects.find(other);
            const bool isRival = other != digest && suspect != parts.suspects.end() && !suspect->second.proven;
            if (isRival && countCrashes(suspect->second, false, now) >= count) {
                return true;
            }
        }
    }
    return false;
}

bool isProvable(const CrashLedger &parts, RequestDigest digest, const Suspect &suspect, TimePoint now)
{
    if (countCrashes(suspect, true, now) >= crashesToProveAlone && !wasCleared(suspect)) {
        return true;
    }
    const std::size_t count = countCrashes(suspect, false, now);
    return count >= partCrashesToProve && !hasRivalPart(parts, digest, count, now);
}

} // namespace

RequestDigest partDigestOf(std::string_view service, std::string_view part)
{
    std::string text(service);
    text += '\0';
    text += part;
    return XXH3_64bits(text.data(), text.size());
}

void endPartProofs(CrashLedger &parts, TimePoint now)
{
    constexpr std::size_t keptCrashes = partCrashesToProve - 1;
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
    endPartProofs(parts, now);
    removeExpired(parts, now);
    clearExplainedByProven(parts);
    std::vector<RequestDigest> proven;
    for (const auto &[digest, suspect] : parts.suspects) {
        const bool undecided = !suspect.proven && suspect.crashes.size() >= partCrashesToProve;
        if (undecided && isProvable(parts, digest, suspect, now)) {
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

bool applyPartStatement(CrashLedger &parts, const SuspectStatement &statement, TimePoint now)
{
    applyStatement(parts, statement, now);
    const auto found = parts.suspects.find(statement.digest);
    if (found == parts.suspects.end()) {
        return false;
    }
    // Crashes are stated of proven parts alone; what this VM knows to be cleared does not count.
    const bool wasProven = found->second.proven;
    found->second.proven = crashesOf(parts, statement.digest).size() >= partCrashesToProve
        && (wasProven || statement.charged.size() >= partCrashesToProve);
    return found->second.proven && !wasProven;
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
