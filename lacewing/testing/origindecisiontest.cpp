// The decision on the version at which a stream goes on, replayed over all combinations of evidence.

#include "origindecision.h"

#include <random>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr Duration sinceSecond = milliseconds(20000);
constexpr Duration longer = milliseconds(20001);

OriginEvidence denied()
{
    OriginEvidence evidence;
    evidence.attemptNamed = true;
    evidence.firstVersion = "a";
    evidence.sinceSecond = sinceSecond;
    evidence.denials = {{2, {longer, longer}}, {1, {longer}}};
    return evidence;
}

} // namespace

Test(origindecision, aSoleVersionIsTheOrigin)
{
    OriginEvidence evidence;
    evidence.needsOrigins = false;
    evidence.soleVersion = "a";
    const OriginOutcome outcome = decideOrigin(evidence);
    cr_assert(outcome.result == OriginResult::Known && outcome.softwareVersion == "a");
    cr_assert_eq(outcome.source, "sole_version");
    evidence.soleVersion.clear();
    cr_assert(decideOrigin(evidence).result == OriginResult::Any, "no endpoint states a version");
}

Test(origindecision, aRecordIsTheOriginWhateverElseIsKnown)
{
    OriginEvidence evidence = denied();
    evidence.recorded = "b";
    evidence.recordSource = "holder";
    const OriginOutcome outcome = decideOrigin(evidence);
    cr_assert(outcome.result == OriginResult::Known && outcome.softwareVersion == "b" && outcome.source == "holder");
}

Test(origindecision, anAttemptThatIsNotNamedHasNoOrigin)
{
    OriginEvidence evidence = denied();
    evidence.attemptNamed = false;
    cr_assert(decideOrigin(evidence).result == OriginResult::Unknown);
}

Test(origindecision, holdersThatCollectedSinceBeforeShowThatTheStreamBeganBefore)
{
    const OriginOutcome outcome = decideOrigin(denied());
    cr_assert(outcome.result == OriginResult::Known && outcome.softwareVersion == "a");
    cr_assert_eq(outcome.source, "first_version");
}

Test(origindecision, nothingIsConcludedFromTooFewHolders)
{
    OriginEvidence started = denied();
    started.denials[0].collected[1] = sinceSecond;
    OriginEvidence silent = denied();
    silent.denials[0].collected.pop_back();
    OriginEvidence cutOff = denied();
    cutOff.denials[1].collected.clear();
    OriginEvidence alone = denied();
    alone.denials.clear();
    OriginEvidence unwatched = denied();
    unwatched.firstVersion.reset();
    OriginEvidence none = denied();
    none.denials = {{0, {}}};
    for (const OriginEvidence &evidence : {started, silent, cutOff, alone, unwatched, none}) {
        const OriginOutcome outcome = decideOrigin(evidence);
        cr_assert(outcome.result == OriginResult::Unknown && outcome.softwareVersion.empty());
    }
}

// With several versions, the outcome is never that any version will do, and no version but a recorded or justified one.
Test(origindecision, replayOfRandomEvidence)
{
    std::mt19937_64 random(7);
    const auto draw = [&random](std::uint64_t below) { return random() % below; };
    for (int round = 0; round < 20000; ++round) {
        OriginEvidence evidence;
        evidence.attemptNamed = draw(4) != 0;
        evidence.soleVersion = draw(2) == 0 ? "" : "z";
        evidence.sinceSecond = sinceSecond;
        if (draw(4) == 0) {
            evidence.recorded = draw(2) == 0 ? "a" : "b";
        }
        if (draw(2) == 0) {
            evidence.firstVersion = "a";
        }
        bool proven = evidence.firstVersion.has_value();
        for (std::uint64_t zones = draw(4); zones > 0; --zones) {
            ZoneDenials zone;
            zone.needed = draw(3);
            std::size_t good = 0;
            for (std::uint64_t answers = draw(4); answers > 0; --answers) {
                zone.collected.push_back(draw(4) == 0 ? sinceSecond / 2 : longer);
                good += zone.collected.back() == longer ? 1 : 0;
            }
            proven = proven && good >= 1 && good >= zone.needed;
            evidence.denials.push_back(zone);
        }
        proven = proven && !evidence.denials.empty();
        const OriginOutcome outcome = decideOrigin(evidence);
        const bool known = evidence.attemptNamed && (evidence.recorded || proven);
        cr_assert(outcome.result == (known ? OriginResult::Known : OriginResult::Unknown), "round %d", round);
        cr_assert_eq(outcome.softwareVersion, known ? evidence.recorded.value_or("a") : "", "round %d", round);
    }
}

// Against a version that is alone now being taken for the only one because nobody has said otherwise.
Test(origindecision, theVersionsAreKnownOnlyIfSomebodyHasWatched)
{
    const auto decide = [](bool seen, bool watched, bool told, bool stored, bool read) {
        VersionsEvidence evidence;
        evidence.severalSeen = seen;
        evidence.watched = watched;
        evidence.mayBeTold = told;
        evidence.stored = stored;
        evidence.mayBeRead = read;
        return decideVersionsKnown(evidence);
    };
    for (int others = 0; others < 8; ++others) {
        const bool told = (others & 1) != 0;
        const bool stored = (others & 2) != 0;
        const bool read = (others & 4) != 0;
        cr_assert(decide(true, false, told, stored, read) == VersionsKnown::Yes);
        cr_assert(decide(false, true, told, stored, read) == VersionsKnown::Yes);
    }
    cr_assert(decide(false, false, true, true, false) == VersionsKnown::Wait, "VMs know more than the store");
    cr_assert(decide(false, false, false, true, false) == VersionsKnown::Yes);
    cr_assert(decide(false, false, false, false, true) == VersionsKnown::Wait);
    cr_assert(decide(false, false, false, false, false) == VersionsKnown::No);
}
