// A tick delivers the VM lists that are due and the answers to reads, then the inbox of each VM and a Tick event.

#include "simulatedvms.h"

#include <algorithm>

#include "codec.h"

namespace lacewing {

namespace {

constexpr Duration listInterval = milliseconds(1000);
constexpr Duration longPoll = milliseconds(1000);
constexpr LogOffset recordsPerRead = 64;

} // namespace

SimulatedVm &SimulatedVms::start(const VmId &vm, const ZoneName &zone, std::int64_t incarnation)
{
    SimulatedVm &joined = this->vms[vm];
    joined = {};
    joined.blackboard.settings.vm = vm;
    joined.blackboard.settings.zone = zone;
    joined.blackboard.settings.incarnation = incarnation;
    this->unlist(vm);
    this->listed.push_back({vm, zone, "127.0.0.1:1", false});
    return joined;
}

void SimulatedVms::kill(const VmId &vm)
{
    this->vms.erase(vm);
}

void SimulatedVms::unlist(const VmId &vm)
{
    std::erase_if(this->listed, [&vm](const VmListEntry &entry) { return entry.vm == vm; });
}

void SimulatedVms::cut(const VmId &a, const VmId &b)
{
    this->cuts.insert({a, b});
    this->cuts.insert({b, a});
}

void SimulatedVms::advance(Duration span)
{
    const TimePoint until = this->now + span;
    while (this->now < until) {
        this->now += tickInterval;
        this->tick();
    }
}

LogOffset SimulatedVms::append(wire::LogRecord record)
{
    wire::StoredRecord stored;
    stored.offset = static_cast<LogOffset>(this->log.records.size());
    stored.record = std::move(record);
    this->log.records.push_back(stored);
    return stored.offset;
}

void SimulatedVms::submit(const VmId &vm, std::int64_t token, std::int64_t basedOn,
                          std::vector<wire::ConfigChange> changes)
{
    this->send(vm, ChangeSubmitted {token, configRecord(basedOn, std::move(changes)).config});
}

void SimulatedVms::send(const VmId &vm, const Event &event)
{
    this->vms.at(vm).inbox.push_back(event);
}

void SimulatedVms::tick()
{
    if (!this->listDown && this->now >= this->nextList) {
        this->nextList = this->now + listInterval;
        this->lists.emplace_back(this->now + this->listLag, VmListRead {++this->stamp, this->listed});
    }
    while (!this->lists.empty() && this->lists.front().first <= this->now) {
        for (auto &[name, vm] : this->vms) {
            if (!vm.cutFromPlatform) {
                vm.inbox.push_back(this->lists.front().second);
            }
        }
        this->lists.pop_front();
    }
    this->readForAll();
    for (auto &[name, vm] : this->vms) {
        if (vm.paused) {
            continue;
        }
        std::deque<Event> events = std::move(vm.inbox);
        vm.inbox.clear();
        events.emplace_back(Tick {});
        for (const Event &event : events) {
            for (const Action &action : step(vm.blackboard, event, this->now)) {
                this->carryOut(name, action);
            }
        }
    }
}

void SimulatedVms::readForAll()
{
    const auto end = static_cast<LogOffset>(this->log.records.size());
    for (auto &[name, vm] : this->vms) {
        if (!vm.reading) {
            continue;
        }
        if (this->log.down || vm.cutFromPlatform) {
            vm.reading = false;
            vm.inbox.emplace_back(LogReadFailed {});
            continue;
        }
        const LogOffset first = std::max(vm.readFrom, this->log.oldestKept);
        if (first >= end && this->now - vm.readSince < longPoll) {
            continue;
        }
        RecordsRead read {first, this->log.oldestKept, end, {}};
        for (LogOffset offset = first; offset < std::min(end, first + recordsPerRead); ++offset) {
            read.records.push_back(this->log.records[static_cast<std::size_t>(offset)]);
        }
        ++this->log.reads;
        vm.reading = false;
        vm.inbox.emplace_back(std::move(read));
    }
}

void SimulatedVms::carryOut(const VmId &name, const Action &action)
{
    SimulatedVm &vm = this->vms.at(name);
    if (const auto *append = std::get_if<AppendRecord>(&action)) {
        this->answerAppend(vm, append->record);
    } else if (const auto *read = std::get_if<ReadLog>(&action)) {
        vm.reading = true;
        vm.readFrom = read->from;
        vm.readSince = this->now;
    } else if (const auto *sent = std::get_if<SendPeer>(&action)) {
        vm.controlBytes += static_cast<std::int64_t>(encode(sent->message).size());
        ++vm.controlMessages;
        if (this->vms.contains(sent->to) && !this->cuts.contains({name, sent->to})) {
            this->vms.at(sent->to).inbox.emplace_back(PeerMessageArrived {name, sent->message});
        }
    } else if (const auto *answer = std::get_if<AnswerOperator>(&action)) {
        vm.answers.push_back(*answer);
    } else if (std::holds_alternative<StopFinished>(action)) {
        ++vm.stopFinished;
    }
}

void SimulatedVms::answerAppend(SimulatedVm &vm, const wire::LogRecord &record)
{
    AppendEnded ended {record.nonce, AppendEnded::Result::Refused, noOffset};
    if (!this->log.down && !vm.cutFromPlatform) {
        ended.result = AppendEnded::Result::Stored;
        ended.offset = this->append(record);
    }
    if (ended.result == AppendEnded::Result::Stored && this->log.losesAnswers) {
        ended.result = AppendEnded::Result::Unknown;
        ended.offset = noOffset;
    }
    vm.inbox.emplace_back(ended);
}

wire::ConfigChange addMember(const std::string &name)
{
    wire::MemberSpec member;
    member.name = name;
    member.keyHash = "hash of " + name;
    wire::ConfigChange change;
    change.__set_memberAdd(member);
    return change;
}

wire::ConfigChange addEndpoint(const std::string &name, const std::string &zone, bool checksFencing)
{
    wire::EndpointSpec endpoint;
    endpoint.name = name;
    endpoint.zone = zone;
    endpoint.address = "127.0.0.1:2";
    endpoint.baseModel = "base";
    endpoint.checksFencing = checksFencing;
    wire::ConfigChange change;
    change.__set_endpointAdd(endpoint);
    return change;
}

wire::ConfigChange usePreset(const std::string &name)
{
    wire::ConfigChange change;
    change.__set_presetUse(name);
    return change;
}

wire::LogRecord configRecord(std::int64_t basedOn, std::vector<wire::ConfigChange> changes)
{
    wire::ConfigRecord config;
    config.basedOn = basedOn;
    config.changes = std::move(changes);
    wire::LogRecord record;
    record.__set_config(config);
    return record;
}

} // namespace lacewing
