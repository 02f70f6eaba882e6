// Lines logged by several threads at once, as in a program that runs more than one VM.

#include <array>
#include <chrono>
#include <cstdio>
#include <latch>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <unistd.h>

#include "eventlog.h"

using namespace lacewing;

namespace {

constexpr int threadCount = 8;
constexpr int linesPerThread = 50000;
/// The rate limit counts whole seconds.
constexpr std::chrono::milliseconds nextSecond(1100);

/// Sends standard output to a file of its own.
class CapturedOutput
{
public:
    CapturedOutput()
    {
        std::fflush(stdout);
        cr_assert(this->file != nullptr);
        cr_assert_geq(::dup2(::fileno(this->file), STDOUT_FILENO), 0);
    }

    ~CapturedOutput()
    {
        ::dup2(this->before, STDOUT_FILENO);
        ::close(this->before);
        std::fclose(this->file);
    }

    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    std::vector<std::string> lines() const
    {
        std::rewind(this->file);
        std::vector<std::string> found;
        std::array<char, 512> space {};
        while (std::fgets(space.data(), static_cast<int>(space.size()), this->file) != nullptr) {
            found.emplace_back(space.data());
        }
        return found;
    }

private:
    int before = ::dup(STDOUT_FILENO);
    std::FILE *file = std::tmpfile();
};

void logOnAllThreads()
{
    std::latch ready(threadCount);
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int number = 0; number < threadCount; ++number) {
        threads.emplace_back([&ready] {
            ready.arrive_and_wait();
            for (int line = 0; line < linesPerThread; ++line) {
                logEvent("shared", {{"key", "value"}});
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

long droppedBefore(const std::string &line)
{
    constexpr std::string_view key = "dropped_before=";
    const std::size_t at = line.find(key);
    return at == std::string::npos ? 0 : std::stol(line.substr(at + key.size()));
}

} // namespace

Test(eventlog, eachLineOfSeveralThreadsIsWrittenOrCountedAsDropped)
{
    std::vector<std::string> lines;
    {
        const CapturedOutput output;
        logOnAllThreads();
        std::this_thread::sleep_for(nextSecond);
        logEvent("shared", {{"key", "value"}});
        lines = output.lines();
    }
    long counted = 0;
    for (const std::string &line : lines) {
        cr_expect(line.starts_with("time=") && line.find(" event=shared key=value") != std::string::npos, "%s",
                  line.c_str());
        counted += 1 + droppedBefore(line);
    }
    cr_expect_eq(counted, static_cast<long>(threadCount) * linesPerThread + 1, "%ld lines counted", counted);
}
