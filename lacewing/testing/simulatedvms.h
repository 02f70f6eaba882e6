// Simulates several VM cores on a paused clock, with a fake log and a fake VM list, for tests of ownership,
// configuration and membership. Messages take one tick; there are no callers and no engines.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "blackboard.h"
#include "step.h"

namespace lacewing {

struct FakeLog {
    std::vector<wire::StoredRecord> records; ///< by offset
    LogOffset oldestKept = 0;
    bool down = false; ///< reads fail, appends are refused
    bool losesAnswers = false; ///< appends are stored, their answers lost
    std::int64_t reads = 0;
};

struct SimulatedVm {
    Blackboard blackboard;
    std::deque<Event> inbox;
    bool paused = false; ///< events wait
    bool cutFromPlatform = false;
    std::vector<AnswerOperator> answers;
    std::int64_t controlBytes = 0; ///< sent to other VMs
    std::int64_t controlMessages = 0;
    std::int64_t stopFinished = 0;
    bool reading = false;
    LogOffset readFrom = 0;
    TimePoint readSince;
};

struct SimulatedVms {
    TimePoint now {std::chrono::seconds(1000)};
    FakeLog log;
    std::map<VmId, SimulatedVm> vms;
    std::vector<VmListEntry> listed; ///< VM list of the platform; visible after listLag
    Duration listLag {0};
    bool listDown = false;
    std::set<std::pair<VmId, VmId>> cuts; ///< messages from first to second are lost
    std::int64_t stamp = 0;
    std::deque<std::pair<TimePoint, VmListRead>> lists;
    TimePoint nextList;

    /// Starts a VM and puts it on the VM list.
    SimulatedVm &start(const VmId &vm, const ZoneName &zone, std::int64_t incarnation = 1);
    /// Ends a process at once; the VM list shows it until unlist() is called.
    void kill(const VmId &vm);
    void unlist(const VmId &vm);
    void cut(const VmId &a, const VmId &b);
    /// Advances the clock in ticks.
    void advance(Duration span);
    /// Appends a record to the log on behalf of another writer.
    LogOffset append(wire::LogRecord record);
    /// Submits a change at a VM, based on a revision.
    void submit(const VmId &vm, std::int64_t token, std::int64_t basedOn, std::vector<wire::ConfigChange> changes);
    void send(const VmId &vm, const Event &event);

private:
    void tick();
    void readForAll();
    void carryOut(const VmId &vm, const Action &action);
    void answerAppend(SimulatedVm &vm, const wire::LogRecord &record);
};

wire::ConfigChange addMember(const std::string &name);
wire::ConfigChange addEndpoint(const std::string &name, const std::string &zone, bool checksFencing);
wire::ConfigChange usePreset(const std::string &name);
wire::LogRecord configRecord(std::int64_t basedOn, std::vector<wire::ConfigChange> changes);

} // namespace lacewing
