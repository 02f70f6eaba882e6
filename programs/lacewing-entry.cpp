// The daemon of an entry VM on the users' platform. All of it is in the libraries; see platformentry.h.
//
//   lacewing-entry                        serves with the settings file that the environment names
//   lacewing-entry --check-settings FILE  says all that is wrong with a settings file, and ends

#include <cstdio>
#include <exception>
#include <string>
#include <string_view>

#include "eventlog.h"
#include "platformentry.h"

namespace {

constexpr int exitCodeOfFailedStart = 1;
constexpr int exitCodeOfWrongUse = 2;
constexpr const char *usage = "usage: lacewing-entry [--check-settings FILE | --help]\n";

int serve()
{
    const lacewing::platform::VmSettings settings = lacewing::platform::loadVmSettings();
    if (!settings.error.empty()) {
        std::fprintf(stderr, "lacewing-entry: %s\n", settings.error.c_str());
        return exitCodeOfFailedStart;
    }
    lacewing::startEventLog();
    lacewing::platform::PlatformEntry entry(settings);
    if (const lacewing::NetError error = entry.start()) {
        std::fprintf(stderr, "lacewing-entry: can't start: %s\n", error.message().c_str());
        return exitCodeOfFailedStart;
    }
    return entry.run();
}

int checkSettings(const char *path)
{
    const lacewing::platform::VmSettings settings = lacewing::platform::readVmSettingsFile(path);
    if (!settings.error.empty()) {
        std::fprintf(stderr, "lacewing-entry: %s\n", settings.error.c_str());
        return exitCodeOfFailedStart;
    }
    std::printf("%s: valid\n", path);
    return 0;
}

int runCommand(int count, char **words)
{
    const std::string_view first = count > 1 ? words[1] : "";
    if (count == 1) {
        return serve();
    }
    if (count == 2 && first == "--help") {
        std::fputs(usage, stdout);
        return 0;
    }
    if (count == 3 && first == "--check-settings") {
        return checkSettings(words[2]);
    }
    std::fputs(usage, stderr);
    return exitCodeOfWrongUse;
}

} // namespace

int main(int count, char **words)
{
    try {
        return runCommand(count, words);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "lacewing-entry: %s\n", error.what());
        return exitCodeOfFailedStart;
    }
}
