// lacewing-load: sends load through the caller faces and proves every answer.
//
//   lacewing-load --callers 127.0.0.1:8001,127.0.0.1:8002 --key KEY --adapters menu,notes --requests 2000
//
// Prints a JSON report. Exit codes: 0 all answers right and whole; 1 an answer was wrong or cut short;
// 2 wrong use.

#include "loadclient.h"

#include <cxxopts.hpp>

#include <chrono>
#include <iostream>

namespace {

using namespace loadtool;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("lacewing-load", "Sends load through caller faces and proves every answer");
    auto add = options.add_options();
    add("callers", "host:port,… of the caller faces", cxxopts::value<std::vector<std::string>>());
    add("key", "member's key", cxxopts::value<std::string>()->default_value(""));
    add("adapters", "adapters to use in turn", cxxopts::value<std::vector<std::string>>()->default_value(""));
    add("class", "urgent, patient or mixed", cxxopts::value<std::string>()->default_value("urgent"));
    add("requests", "number of requests", cxxopts::value<int>()->default_value("100"));
    add("concurrency", "requests open at once", cxxopts::value<int>()->default_value("10"));
    add("tokens", "tokens of each answer", cxxopts::value<int>()->default_value("16"));
    add("whole", "ask for whole answers instead of streams");
    add("chat", "use chat completions");
    add("abort-share", "share of answers left midway", cxxopts::value<double>()->default_value("0"));
    add("retries", "tries more when not run", cxxopts::value<int>()->default_value("0"));
    add("service", "call this plain service instead", cxxopts::value<std::string>()->default_value(""));
    add("idempotency-key", "one key for all calls", cxxopts::value<std::string>()->default_value(""));
    add("not-repeatable", "mark the requests as not repeatable");
    add("direct", "the addresses are engines");
    add("ramp-ms", "start the clients over this time", cxxopts::value<int>()->default_value("0"));
    add("help", "show this");
    return options;
}

LoadSettings readSettings(const cxxopts::ParseResult &arguments)
{
    LoadSettings settings;
    settings.callers = arguments["callers"].as<std::vector<std::string>>();
    settings.key = arguments["key"].as<std::string>();
    settings.adapters = arguments["adapters"].as<std::vector<std::string>>();
    settings.requestClass = arguments["class"].as<std::string>();
    settings.requests = arguments["requests"].as<int>();
    settings.concurrency = arguments["concurrency"].as<int>();
    settings.tokens = arguments["tokens"].as<int>();
    settings.stream = arguments.count("whole") == 0;
    settings.chat = arguments.count("chat") > 0;
    settings.abortShare = arguments["abort-share"].as<double>();
    settings.retries = arguments["retries"].as<int>();
    settings.service = arguments["service"].as<std::string>();
    settings.idempotencyKey = arguments["idempotency-key"].as<std::string>();
    settings.repeatable = arguments.count("not-repeatable") == 0;
    settings.direct = arguments.count("direct") > 0;
    settings.rampMilliseconds = arguments["ramp-ms"].as<int>();
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int wrongUse = 2;
    try {
        cxxopts::Options options = describeOptions();
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("callers") == 0) {
            std::cout << options.help() << std::endl;
            return arguments.count("help") > 0 ? 0 : wrongUse;
        }
        boost::asio::io_context io(1);
        LoadClient client(io, readSettings(arguments));
        const auto start = std::chrono::steady_clock::now();
        client.start();
        io.run();
        LoadResult result = client.result();
        result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        std::cout << toJson(result) << std::endl;
        return result.wrong + result.cut == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "lacewing-load: " << error.what() << std::endl;
        return wrongUse;
    }
}
