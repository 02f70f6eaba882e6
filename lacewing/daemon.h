// All parts of a daemon put together: the runtime with its decisions, the faces towards callers and
// operators, the platform client, metrics and the log.
//
//   Daemon daemon(settings);
//   if (std::error_code error = daemon.start()) ...
//   int exitCode = daemon.run();

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <future>
#include <map>
#include <system_error>

#include <boost/asio/signal_set.hpp>

#include "callerface.h"
#include "clock.h"
#include "metrics.h"
#include "operatorbackend.h"
#include "operatorface.h"
#include "platformclient.h"
#include "runtime.h"
#include "settings.h"

namespace lacewing {

class Daemon : public OperatorBackend
{
public:
    /// @param wanted settings without faults
    explicit Daemon(Settings wanted);
    ~Daemon() override;
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens all listeners and starts the platform client.
    /// @return what failed, if anything
    std::error_code start();

    /// Serves until SIGTERM or SIGINT and then until the planned stop is complete or its bound has passed.
    /// @return exit code of the process
    int run();

    std::future<ChangeAnswer> submitChange(wire::ConfigRecord change) override;
    std::future<std::string> inspect(Inspection inspection) override;

private:
    RuntimeOutputs outputs();
    Blackboard initialState() const;
    void awaitSignal();
    void beginStop();
    void checkStopped();
    void answerChange(const AnswerOperator &answer);

    Settings settings;
    std::int64_t incarnation;
    asio::io_context context;
    RuntimeClock clock;
    Metrics metrics;
    Runtime runtime;
    CallerFace callers;
    PlatformClient platform;
    OperatorFace operators;
    asio::signal_set signals;
    asio::steady_timer stopTimer;
    std::map<std::int64_t, std::promise<ChangeAnswer>> changes; ///< by token; on the runtime's thread
    std::int64_t nextChange = 1;
    TimePoint stopAsked;
    bool coreFinished = false; ///< nothing in progress and nothing owned any more
};

} // namespace lacewing
