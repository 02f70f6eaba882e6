// lacewing-standin: one stand-in a process, for tests and for scripts/run-local.
//
//   lacewing-standin engine --listen 127.0.0.1:0 --weights 127.0.0.1:7001 --slots 4
//
// Prints "listening PORT" once it accepts connections, and runs until SIGINT or SIGTERM.

#include "engine.h"
#include "httpserver.h"
#include "plainservice.h"
#include "platform.h"
#include "weightstore.h"

#include <cxxopts.hpp>

#include <iostream>
#include <memory>

namespace {

using namespace standin;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("lacewing-standin",
                             "Stand-ins for the outside systems: engine, service, weights, platform");
    options.add_options()("kind", "engine, service, weights or platform", cxxopts::value<std::string>());
    options.add_options()("listen", "address", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("name", "name of the service", cxxopts::value<std::string>()->default_value("orders"));
    options.add_options()("weights", "host:port of the weight store", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("slots", "adapter slots of the engine", cxxopts::value<int>()->default_value("4"));
    options.add_options()("max-running", "batch size of the engine", cxxopts::value<int>()->default_value("8"));
    options.add_options()("checks-fencing", "refuse old fencing numbers");
    options.add_options()("step-us", "time for one token, microseconds",
                          cxxopts::value<long>()->default_value("10000"));
    options.add_options()("adapter-us", "more time a further adapter", cxxopts::value<long>()->default_value("1000"));
    options.add_options()("rate", "loads or appends a second", cxxopts::value<double>()->default_value("0"));
    options.add_options()("help", "show this");
    options.parse_positional({"kind"});
    options.positional_help("KIND");
    return options;
}

Handler makeEngine(asio::io_context &io, const cxxopts::ParseResult &arguments)
{
    EngineSettings settings;
    settings.slots = arguments["slots"].as<int>();
    settings.maxRunning = arguments["max-running"].as<int>();
    settings.checksFencing = arguments.count("checks-fencing") > 0;
    settings.weights = arguments["weights"].as<std::string>();
    settings.step = std::chrono::microseconds(arguments["step-us"].as<long>());
    settings.stepPerAdapter = std::chrono::microseconds(arguments["adapter-us"].as<long>());
    auto engine = std::make_shared<Engine>(io, settings);
    return [engine](Exchange &exchange) { return engine->handle(exchange); };
}

Handler makeHandler(asio::io_context &io, const cxxopts::ParseResult &arguments)
{
    constexpr double defaultLoads = 3;
    constexpr double defaultAppends = 400;
    const std::string kind = arguments["kind"].as<std::string>();
    const double rate = arguments["rate"].as<double>();
    if (kind == "engine") {
        return makeEngine(io, arguments);
    }
    if (kind == "service") {
        auto service = std::make_shared<PlainService>(arguments["name"].as<std::string>());
        return [service](Exchange &exchange) { return service->handle(exchange); };
    }
    if (kind == "weights") {
        auto store = std::make_shared<WeightStore>(io, rate > 0 ? rate : defaultLoads);
        return [store](Exchange &exchange) { return store->handle(exchange); };
    }
    if (kind == "platform") {
        auto platform = std::make_shared<Platform>(io, rate > 0 ? rate : defaultAppends);
        return [platform](Exchange &exchange) { return platform->handle(exchange); };
    }
    throw std::invalid_argument("unknown kind " + kind);
}

tcp::endpoint parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = describeOptions();
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("kind") == 0) {
            std::cout << options.help() << std::endl;
            return arguments.count("help") > 0 ? 0 : 2;
        }
        asio::io_context io(1);
        const HttpServer server(io, parseAddress(arguments["listen"].as<std::string>()), makeHandler(io, arguments));
        asio::signal_set signals(io, SIGINT, SIGTERM);
        signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
        std::cout << "listening " << server.port() << std::endl;
        io.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "lacewing-standin: " << error.what() << std::endl;
        return 1;
    }
}
