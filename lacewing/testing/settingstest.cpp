// Settings: all faults at once, the flag before the environment, rules between settings, and random input.

#include <map>
#include <random>

#include <criterion/criterion.h>

#include "settings.h"
#include "settingvalue.h"
#include "sizes.h"

using namespace lacewing;

namespace {

using Variables = std::map<std::string, std::string>;

Variables goodVariables()
{
    return {{"LACEWING_VM", "vm-1"},
            {"LACEWING_ZONE", "luzon-a"},
            {"LACEWING_PLATFORM_URL", "http://127.0.0.1:7000"},
            {"LACEWING_OPERATOR_TOKEN", "operators-secret"},
            {"LACEWING_PEER_TOKEN", "peers-secret"}};
}

SettingsReading read(std::vector<const char *> arguments, const Variables &variables)
{
    arguments.insert(arguments.begin(), "lacewingd");
    return readSettings(arguments, [&](std::string_view name) -> std::optional<std::string> {
        const auto found = variables.find(std::string(name));
        return found != variables.end() ? std::optional(found->second) : std::nullopt;
    });
}

bool mentions(const SettingsReading &reading, std::string_view text)
{
    return reading.text.find(text) != std::string::npos;
}

} // namespace

Test(settings, goodEnvironmentIsEnough)
{
    const SettingsReading reading = read({}, goodVariables());
    cr_assert(reading.run, "%s", reading.text.c_str());
    cr_assert(reading.settings.vm == "vm-1");
    cr_assert(reading.settings.platformUrl == (HostPort {"127.0.0.1", 7000}));
    cr_assert(reading.settings.advertisedPeerAddress == reading.settings.peerAddress);
    const CoreSettings core = toCoreSettings(reading.settings, 7);
    cr_assert(core.zone == "luzon-a" && core.incarnation == 7 && core.peerAddress == "127.0.0.1:8081");
}

Test(settings, flagGoesBeforeEnvironment)
{
    Variables variables = goodVariables();
    variables["LACEWING_BODY_LIMIT"] = "1M";
    variables["LACEWING_KEY_LIFETIME"] = "30s";
    const SettingsReading reading = read({"--body-limit", "64K", "--vm=vm-9"}, variables);
    cr_assert(reading.run);
    cr_assert(reading.settings.bodyLimit == 64 * kibibyte);
    cr_assert(reading.settings.vm == "vm-9");
    cr_assert(reading.settings.keyLifetime == milliseconds(30'000));
}

Test(settings, allFaultsAreReportedAtOnce)
{
    Variables variables = goodVariables();
    variables.erase("LACEWING_ZONE");
    variables["LACEWING_RETRY_SHARE"] = "1.5";
    variables["LACEWING_PLATFORM_URL"] = "https://x";
    const SettingsReading reading = read({"--body-limit", "much", "--no-such-flag", "--caller-address", "127.0.0.1:0",
                                          "--longest-deadline", "20m", "--queue-limit"},
                                         variables);
    cr_assert(!reading.run);
    cr_assert(reading.exitCode == exitCodeOfFaultySettings);
    for (const char *part : {"--zone", "--retry-share", "--platform-url", "--body-limit", "no-such-flag",
                             "--caller-address", "--shutdown-bound", "queue-limit"}) {
        cr_expect(mentions(reading, part), "%s is not in: %s", part, reading.text.c_str());
    }
    cr_assert(reading.faults.size() == 8, "%zu", reading.faults.size());
}

Test(settings, secretsAreNotShown)
{
    Variables variables = goodVariables();
    variables["LACEWING_PEER_TOKEN"] = "very\x01hidden";
    variables["LACEWING_BODY_LIMIT"] = "0";
    const SettingsReading reading = read({}, variables);
    cr_assert(!reading.run && mentions(reading, "--peer-token"));
    cr_assert(!mentions(reading, "hidden") && !mentions(reading, "operators-secret"));
}

Test(settings, tokensMustDiffer)
{
    Variables variables = goodVariables();
    variables["LACEWING_PEER_TOKEN"] = variables["LACEWING_OPERATOR_TOKEN"];
    cr_assert(!read({}, variables).run);
}

Test(settings, helpVersionAndCheckEndWithoutRunning)
{
    cr_assert(mentions(read({"--help"}, {}), "--body-limit") && read({"--help"}, {}).exitCode == 0);
    cr_assert(mentions(read({"--version"}, {}), "lacewingd "));
    const SettingsReading checked = read({"--check-settings"}, goodVariables());
    cr_assert(!checked.run && checked.exitCode == 0 && checked.faults.empty());
    cr_assert(read({"--check-settings"}, {}).exitCode == exitCodeOfFaultySettings);
}

Test(settings, valuesReadBackAsWritten)
{
    for (const std::int64_t microseconds : {1000LL, 500'000LL, 2'000'000LL, 600'000'000LL, 3'600'000'000LL}) {
        Duration back {0};
        cr_assert(readValue(writeValue(Duration(microseconds)), back).empty());
        cr_assert(back == Duration(microseconds));
    }
    std::size_t size = 0;
    cr_assert(readValue("16K", size).empty() && size == 16 * kibibyte && writeValue(size) == "16K");
    for (const char *text : {"", "-1", "1x", "1 s", "99999999999999999999s", "9223372036854775807h", "0s", "s"}) {
        Duration duration = milliseconds(5);
        cr_assert(!readValue(text, duration).empty() && duration == milliseconds(5), "%s", text);
    }
}

Test(settings, randomInputNeverPassesUnnoticed)
{
    constexpr int rounds = 2000;
    constexpr int longest = 40;
    std::mt19937_64 random(20250102);
    for (int round = 0; round < rounds; ++round) {
        std::string text(random() % longest, ' ');
        for (char &character : text) {
            character = static_cast<char>(random());
        }
        text = text.substr(0, text.find('\0'));
        Variables variables = goodVariables();
        variables["LACEWING_PEER_ADDRESS"] = text;
        variables["LACEWING_HEARTBEAT_INTERVAL"] = text;
        const SettingsReading reading = read({text.c_str(), "--zone", text.c_str()}, variables);
        cr_assert(!reading.run, "seed round %d", round);
        cr_assert(!reading.faults.empty() || reading.exitCode == 0);
    }
}
