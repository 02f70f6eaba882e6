// The daemon of an entry VM. All of it is in the library; see daemon.h.

#include <cstdio>
#include <exception>
#include <span>

#include "daemon.h"
#include "logging.h"
#include "settings.h"

namespace {

constexpr int exitCodeOfFailedStart = 1;

int serve(const lacewing::Settings &settings)
{
    lacewing::startLogging(settings.logLevel);
    lacewing::Daemon daemon(settings);
    if (const std::error_code error = daemon.start()) {
        std::fprintf(stderr, "lacewingd: can't start: %s\n", error.message().c_str());
        return exitCodeOfFailedStart;
    }
    return daemon.run();
}

} // namespace

int main(int argc, char **argv)
{
    const std::span<const char *const> arguments(argv, static_cast<std::size_t>(argc));
    const lacewing::SettingsReading reading = lacewing::readSettings(arguments, lacewing::processEnvironment());
    if (!reading.run) {
        std::fputs(reading.text.c_str(), reading.exitCode == 0 ? stdout : stderr);
        return reading.exitCode;
    }
    try {
        return serve(reading.settings);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "lacewingd: %s\n", error.what());
        return exitCodeOfFailedStart;
    }
}
