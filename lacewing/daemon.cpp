// Threads: the runtime's own runs all decisions and all caller, peer and endpoint connections; the
// platform client and the operator face have theirs and only ever post into it.
//
// A planned stop is over when the decisions say so and callers have got the last answer. The listener stays
// open a little longer, so that callers whom the balancer still sends here are told to go elsewhere
// rather than refused a connection.

#include "daemon.h"

#include <csignal>
#include <memory>
#include <random>

#include "answerstream.h"
#include "callerrequest.h"
#include "logging.h"
#include "stopprogress.h"

namespace lacewing {

namespace {

constexpr Duration stopCheckInterval = milliseconds(50);
constexpr Duration shortestStop = milliseconds(1000); ///< the listener stays open at least that long

std::int64_t makeIncarnation()
{
    std::random_device random;
    std::uniform_int_distribution<std::int64_t> numbers(1);
    return numbers(random);
}

RuntimeSettings runtimeSettings(const Settings &settings, std::int64_t incarnation)
{
    RuntimeSettings runtime;
    runtime.peers.vm = settings.vm;
    runtime.peers.incarnation = incarnation;
    runtime.peers.listenAddress = toString(settings.peerAddress);
    runtime.peers.token = settings.peerToken;
    runtime.peers.largestFrame = std::max(runtime.peers.largestFrame, 2 * settings.bodyLimit);
    return runtime;
}

CallerSettings callerSettings(const Settings &settings)
{
    CallerSettings callers;
    callers.listenAddress = toString(settings.callerAddress);
    callers.headerLimit = static_cast<std::uint32_t>(settings.headerLimit);
    callers.bodyLimit = settings.bodyLimit;
    callers.headerTimeout = settings.headerTimeout;
    callers.bodyTimeout = settings.bodyTimeout;
    callers.idleTimeout = settings.idleTimeout;
    callers.defaultDeadline = settings.defaultDeadline;
    callers.longestDeadline = settings.longestDeadline;
    callers.openRequestLimit = settings.openRequestLimit;
    return callers;
}

PlatformOptions platformOptions(const Settings &settings)
{
    PlatformOptions options;
    options.platform = settings.platformUrl;
    return options;
}

OperatorFaceOptions operatorOptions(const Settings &settings)
{
    OperatorFaceOptions options;
    options.address = settings.operatorAddress;
    options.api.token = settings.operatorToken;
    return options;
}

} // namespace

Daemon::Daemon(Settings wanted)
    : settings(std::move(wanted)),
      incarnation(makeIncarnation()),
      context(1),
      runtime(context, clock, initialState(), runtimeSettings(settings, incarnation), outputs()),
      callers(context, runtime, callerSettings(settings)),
      platform(platformOptions(settings), [this](Event event) { this->runtime.post(std::move(event)); }),
      operators(operatorOptions(settings), metrics, *this),
      signals(context, SIGTERM, SIGINT),
      stopTimer(context)
{
}

Daemon::~Daemon()
{
    this->operators.stop();
    this->platform.stop();
}

Blackboard Daemon::initialState() const
{
    Blackboard state;
    state.settings = toCoreSettings(this->settings, this->incarnation);
    state.settings.peerAddress = toString(this->settings.advertisedPeerAddress);
    state.settings.keySecret = sha256Hex("idempotency keys " + this->settings.peerToken);
    return state;
}

RuntimeOutputs Daemon::outputs()
{
    RuntimeOutputs outputs;
    outputs.appendRecord = [this](const AppendRecord &action) { this->platform.append(action.record); };
    outputs.readLog = [this](const ReadLog &action) { this->platform.read(action.from); };
    outputs.answerOperator = [this](const AnswerOperator &action) { this->answerChange(action); };
    outputs.writeLog = [](const WriteLog &action) { writeLogLine(action.event, action.fields); };
    outputs.observe = [this](const Observe &action) { this->metrics.observe(action); };
    outputs.count = [this](const Count &action) { this->metrics.count(action); };
    outputs.stopFinished = [this] { this->coreFinished = true; };
    return outputs;
}

std::error_code Daemon::start()
{
    NetError error = this->runtime.start();
    if (!error) {
        error = this->callers.listen();
    }
    if (error) {
        return {error.value(), std::system_category()};
    }
    if (const std::error_code failed = this->operators.start()) {
        return failed;
    }
    this->platform.start();
    this->awaitSignal();
    const std::vector<LogField> fields {{"vm", this->settings.vm},
                                        {"zone", this->settings.zone},
                                        {"caller_address", toString(this->settings.callerAddress)},
                                        {"peer_address", toString(this->settings.peerAddress)},
                                        {"operator_address", toString(this->settings.operatorAddress)}};
    writeLogLine("started", fields);
    return {};
}

int Daemon::run()
{
    this->context.run();
    // The other threads post into the runtime: they end before it does.
    this->operators.stop();
    this->platform.stop();
    const std::vector<LogField> fields {{"complete", this->coreFinished ? "yes" : "no"}};
    writeLogLine("stopped", fields);
    return 0;
}

void Daemon::awaitSignal()
{
    this->signals.async_wait([this](const NetError &error, int) {
        if (!error) {
            this->beginStop();
        }
    });
}

void Daemon::beginStop()
{
    writeLogLine("stopping", {});
    this->stopAsked = this->clock.now();
    this->runtime.deliver(StopRequested {});
    this->callers.beginStop();
    this->checkStopped();
}

void Daemon::checkStopped()
{
    StopProgress progress;
    progress.listening = this->callers.listening();
    progress.idle = this->coreFinished && this->callers.openRequests() == 0;
    progress.connections = this->callers.connections();
    progress.waited = this->clock.now() - this->stopAsked;
    const StopStep step = nextStopStep(progress, {shortestStop, this->settings.shutdownBound});
    if (step == StopStep::End) {
        this->callers.close();
        this->runtime.close();
        this->context.stop();
        return;
    }
    if (step == StopStep::CloseListener) {
        const std::size_t waiting = this->callers.closeListener();
        const std::vector<LogField> fields {{"waiting", std::to_string(waiting)},
                                            {"connections", std::to_string(this->callers.connections())}};
        writeLogLine("listener_closed", fields);
    }
    this->stopTimer.expires_after(stopCheckInterval);
    this->stopTimer.async_wait([this](const NetError &error) {
        if (!error) {
            this->checkStopped();
        }
    });
}

std::future<ChangeAnswer> Daemon::submitChange(wire::ConfigRecord change)
{
    const auto promise = std::make_shared<std::promise<ChangeAnswer>>();
    std::future<ChangeAnswer> answer = promise->get_future();
    this->runtime.run([this, promise, moved = std::move(change)]() mutable {
        ChangeSubmitted submitted;
        submitted.token = this->nextChange++;
        submitted.change = std::move(moved);
        this->changes[submitted.token] = std::move(*promise);
        this->runtime.deliver(std::move(submitted));
    });
    return answer;
}

void Daemon::answerChange(const AnswerOperator &answer)
{
    const auto found = this->changes.find(answer.token);
    if (found == this->changes.end()) {
        return;
    }
    found->second.set_value(ChangeAnswer {answer.code, answer.revision, answer.message});
    this->changes.erase(found);
}

std::future<std::string> Daemon::inspect(Inspection inspection)
{
    const auto promise = std::make_shared<std::promise<std::string>>();
    std::future<std::string> answer = promise->get_future();
    this->runtime.run([this, promise, moved = std::move(inspection)] {
        promise->set_value(moved(this->runtime.blackboard(), this->clock.now()));
    });
    return answer;
}

} // namespace lacewing
