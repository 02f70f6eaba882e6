// A line is at most a few hundred bytes, so a write to a pipe is atomic. Standard output is non-blocking in programs,
// so that no thread waits long for the lock. The wall-clock time is only for readers of the log; the rate limit uses
// the steady clock.

#include "eventlog.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <map>
#include <mutex>
#include <span>
#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace lacewing {

namespace {

struct LineBudget {
    std::int64_t second = 0;
    int lines = 0;
    int dropped = 0;
};

struct EventLog {
    std::mutex mutex; ///< a program may run several VMs, each on its own thread
    std::map<std::string, LineBudget, std::less<>> budgets;
    int unwritten = 0;
};

EventLog &eventLog()
{
    static EventLog log;
    return log;
}

std::string timeStamp()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto all = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::time_t seconds = all / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text {};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(all % 1000));
    return std::string(text.data(), size) + fraction.data();
}

void writeLine(EventLog &log, const std::string &line)
{
    const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size())) {
        log.unwritten += 1;
    }
}

} // namespace

std::string inMilliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration));
}

void startEventLog()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    EventLog &log = eventLog();
    const std::lock_guard<std::mutex> lock(log.mutex);
    auto found = log.budgets.find(event);
    if (found == log.budgets.end()) {
        found = log.budgets.emplace(std::string(event), LineBudget {}).first;
    }
    LineBudget &budget = found->second;
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(steady).count();
    int dropped = 0;
    if (second != budget.second) {
        dropped = budget.dropped;
        budget = {second, 0, 0};
    }
    budget.lines += 1;
    if (budget.lines > maxLinesPerSecond) {
        budget.dropped += 1;
        return;
    }
    std::string line = "time=" + timeStamp() + " ";
    line += formatLogLine(event, std::span<const LogField>(fields.begin(), fields.size()));
    if (dropped > 0) {
        line += " dropped_before=" + std::to_string(dropped);
    }
    if (log.unwritten > 0) {
        line += " unwritten_before=" + std::to_string(log.unwritten);
        log.unwritten = 0;
    }
    line += '\n';
    writeLine(log, line);
}

} // namespace lacewing
