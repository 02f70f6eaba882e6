// Several whole cores joined by a fake link, with fakes of log, VM list and endpoints, on a paused clock.
//
//   FaultHarness harness(options);
//   harness.at(milliseconds(3000), [&] { harness.killVm("vm-1"); });
//   harness.runUntil(milliseconds(60000));
//   check(harness.trace());
//
// All that happens follows from the options and the calls: the same seed gives the same trace. It is no cluster
// simulator: no bandwidth, no processor time, no sockets.

#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "blackboard.h"
#include "faultplatform.h"
#include "faulttrace.h"

namespace lacewing::faults {

struct HarnessOptions {
    std::uint64_t seed = 1;
    SafetyRules rules;
};

/// Faults of the link between VMs, as shares of messages.
struct LinkFaults {
    double drop = 0;
    double repeat = 0; ///< delivered twice
    double reorder = 0; ///< delayed by up to a second, so that later ones overtake it
    Duration delay = milliseconds(1);
};

/// One VM: its core, and whether it runs.
struct FakeVm {
    Blackboard blackboard;
    ZoneName zone;
    bool alive = false;
    bool frozen = false;
    bool freezeAfterStep = false; ///< pause between a decision and its actions
    bool platformCut = false;
    std::uint64_t life = 0; ///< tells timers of an earlier life apart
    std::int64_t nextRequest = 1;
    std::vector<std::function<void()>> inbox; ///< what arrived while frozen
    Actions held; ///< decided, not yet carried out
    std::set<EndpointName> leavingShown;
    std::int64_t revisionSeen = -1;
};

class FaultHarness
{
public:
    /// @param options seed and rules
    explicit FaultHarness(const HarnessOptions &options);

    /// @param when time since the start
    /// @param what called then
    void at(Duration when, std::function<void()> what);

    /// @param when time since the start, until which all is carried out
    void runUntil(Duration when);

    /// @return time since the start
    Duration elapsed() const;

    /// @param name of a new VM
    /// @param zone it is in
    void addVm(const VmId &name, const ZoneName &zone);

    /// @param spec of a new endpoint; put in the configuration by the caller
    void addEndpoint(const wire::EndpointSpec &spec);

    /// Sends a caller's request.
    /// @param vm that takes it
    /// @param arrival request; id is set
    /// @param lifetime until the deadline
    /// @return its id; number 0 if the VM is down
    RequestId submit(const VmId &vm, RequestArrived arrival, Duration lifetime);

    /// @param vm any
    /// @param event given to its core, if it lives
    void deliver(const VmId &vm, const Event &event);

    void killVm(const VmId &vm);
    /// Starts a VM, with a new incarnation and nothing remembered.
    void startVm(const VmId &vm);
    /// Starts a VM if it is down.
    void restore(const VmId &vm);
    /// Asks for a planned stop; the VM is gone when the core says so.
    void stopVm(const VmId &vm);
    /// @param span how long it is paused
    /// @param midStep whether it stops between a decision and its actions
    void freezeVm(const VmId &vm, Duration span, bool midStep);
    /// Cuts or restores one direction.
    void setCut(const VmId &from, const VmId &to, bool cut);
    void restartEndpoint(const EndpointName &name);
    void setLeaving(const EndpointName &name, bool leaving, bool refuses);
    /// Adds a line to the trace.
    void note(TraceEvent event);

    const Trace &trace() const;
    /// @param request any
    /// @return the outcome its caller was told, if any
    const FinishRequest *finishOf(const RequestId &request) const;

    std::mt19937_64 random;
    std::map<VmId, FakeVm> vms;
    std::map<EndpointName, FakeEndpoint> endpoints;
    FakeLog log;
    FakeVmList vmList;
    Duration vmListLag = milliseconds(1000);
    LinkFaults link;
    std::map<std::int64_t, std::string> mintedKeys; ///< by token
    std::map<std::int64_t, std::int64_t> changeBase; ///< base revision of a change, by operator token

    /// @param share probability
    /// @return whether it happens now
    bool chance(double share);

private:
    void after(Duration delay, std::function<void()> what);
    void whenAwake(const VmId &vm, std::uint64_t life, std::function<void()> what);
    void thaw(const VmId &vm, std::uint64_t life);
    void disconnect(const VmId &vm, const VmId &other);
    void run(const VmId &vm, const Event &event);
    void carryOut(const VmId &vm, const Action &action);
    void send(const VmId &from, const VmId &to, const std::function<void()> &arrive);
    void sendEvent(const VmId &from, const VmId &to, const Event &event);
    void tick(const VmId &vm, std::uint64_t life);
    void pollPlatform(const VmId &vm, std::uint64_t life);
    void showList(const VmId &vm, const VmListRead &list);
    void startRun(const VmId &vm, const StartRun &start);
    void nextToken(const EndpointName &name, std::uint64_t serial);
    void deliverToken(const VmId &entry, const FakeRun &run, std::int64_t position);
    void endRun(const EndpointName &name, std::uint64_t serial, AttemptOutcome outcome, ResultCode code);
    void stopRun(const VmId &vm, const StopRun &stop);
    void orderAdapter(const VmId &vm, const OrderAdapter &order);
    void readLog(const VmId &vm, std::uint64_t life, LogOffset from, TimePoint waitEnd);
    void append(const VmId &vm, const wire::LogRecord &record);
    void noteState(const VmId &vm);

    TimePoint now;
    TimePoint started;
    std::multimap<TimePoint, std::function<void()>> queue;
    std::set<std::pair<VmId, VmId>> cuts;
    std::map<std::pair<VmId, VmId>, TimePoint> lastArrival; ///< keeps a connection in order

    Trace events;
    std::map<std::pair<std::int64_t, std::int64_t>, FinishRequest> finishes;
    SafetyRules rules;
    std::int64_t nextIncarnation = 100;
    std::uint64_t nextSerial = 1;
    std::int32_t loadsInProgress = 0;
};

} // namespace lacewing::faults
