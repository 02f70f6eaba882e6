// The core under measurement runs exactly as in the daemon: step() for each event. Only what lies outside
// is cut short, so that the time measured is that of the decisions.

#include "slopecores.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <variant>
#include <vector>

#include "claims.h"
#include "codec.h"
#include "queuecontroller.h"
#include "residency.h"
#include "step.h"

namespace lacewing {

namespace {

constexpr int slotsOfEngine = 4;
constexpr int placesOfEngine = 1'000'000;
constexpr std::int32_t tokensOfRequest = 16;
constexpr const char *selfName = "vm-0";
constexpr const char *zoneName = "zone-0";

std::string adapterName(int number)
{
    return "adapter-" + std::to_string(number);
}

void addAdapters(ConfigState &config, int count)
{
    for (int number = 0; number < count; ++number) {
        AdapterInfo info;
        info.member = "member";
        info.baseModel = "base";
        info.versions[1] = {"weights/" + adapterName(number), false};
        info.assignedVersion = 1;
        config.adapters[adapterName(number)] = info;
    }
}

wire::EndpointSpec endpointSpec(int number)
{
    wire::EndpointSpec spec;
    spec.name = "engine-" + std::to_string(number);
    spec.zone = zoneName;
    spec.baseModel = "base";
    spec.adapterSlots = slotsOfEngine;
    spec.maxRunning = placesOfEngine;
    return spec;
}

} // namespace

SlopeCore::SlopeCore(const CoreSize &size) : endpoints(size.endpoints)
{
    this->blackboard.settings.vm = selfName;
    this->blackboard.settings.zone = zoneName;
    this->blackboard.settings.incarnation = 1;
    this->blackboard.settings.openRequestLimit = placesOfEngine;
    this->blackboard.settings.queueLimit = placesOfEngine;
    wire::MemberSpec member;
    member.name = "member";
    this->blackboard.config.members["member"] = member;
    addAdapters(this->blackboard.config, size.adapters);
    VmListRead list {1, {}};
    for (int number = 0; number < size.vms; ++number) {
        list.entries.push_back({"vm-" + std::to_string(number), zoneName, "127.0.0.1:1", false});
    }
    this->deliver(list);
    Actions ignored;
    for (int number = 0; number < size.endpoints; ++number) {
        const wire::EndpointSpec spec = endpointSpec(number);
        this->blackboard.config.endpoints[spec.name] = spec;
        wire::ClaimState &claim = this->blackboard.claims.current[endpointResource(spec.name)];
        claim.resource = endpointResource(spec.name);
        claim.vm = selfName;
        claim.incarnation = 1;
        claim.offset = number;
        takeEndpoint(this->blackboard, spec.name, number + 1, this->now, ignored);
        EndpointReported report;
        report.endpoint = spec.name;
        report.incarnation = "1";
        for (int slot = 0; slot < slotsOfEngine; ++slot) {
            report.resident.push_back(makeAdapterVersion(adapterName(number * slotsOfEngine + slot), 1));
        }
        this->deliver(report);
    }
}

void SlopeCore::answer(const Action &action, std::deque<Event> &pending)
{
    if (const auto *offer = std::get_if<OfferAttempt>(&action)) {
        pending.emplace_back(OfferArrived {selfName, offer->offer});
    } else if (const auto *accept = std::get_if<AcceptOffer>(&action)) {
        pending.emplace_back(OfferAccepted {accept->attempt});
    } else if (const auto *run = std::get_if<StartRun>(&action); run != nullptr && this->finishRuns) {
        pending.emplace_back(AttemptProgressed {run->offer.attempt, tokensOfRequest});
        RunEnded ended {run->endpoint, run->offer.attempt, {}};
        ended.result.outcome = AttemptOutcome::Completed;
        ended.result.position = tokensOfRequest;
        pending.emplace_back(ended);
    } else if (const auto *end = std::get_if<EndOffer>(&action)) {
        pending.emplace_back(AttemptEnded {end->attempt, end->result});
    } else if (const auto *order = std::get_if<OrderAdapter>(&action)) {
        pending.emplace_back(OrderEnded {order->endpoint, order->adapter, order->kind, ResultCode::Ok, Duration {0}});
    } else if (const auto *finish = std::get_if<FinishRequest>(&action)) {
        this->answered += finish->outcome == RequestOutcome::Answered ? 1 : 0;
    }
}

void SlopeCore::deliver(const Event &first)
{
    std::deque<Event> pending {first};
    while (!pending.empty()) {
        const Event event = std::move(pending.front());
        pending.pop_front();
        ++this->events;
        for (const Action &action : step(this->blackboard, event, this->now)) {
            this->answer(action, pending);
        }
    }
}

void SlopeCore::request()
{
    const int loaded = this->endpoints * slotsOfEngine;
    RequestArrived arrival;
    arrival.request.node = 1;
    arrival.request.number = this->nextRequest++;
    arrival.member = "member";
    arrival.target = makeAdapterVersion(adapterName(static_cast<int>(arrival.request.number) % loaded), 1);
    arrival.deadline = this->now + std::chrono::minutes(1);
    arrival.maxTokens = tokensOfRequest;
    arrival.promptTokens = 100;
    arrival.prefixHash = arrival.request.number;
    this->deliver(arrival);
}

void SlopeCore::openRequest()
{
    this->finishRuns = false;
    this->request();
    this->finishRuns = true;
}

void SlopeCore::tick()
{
    this->now += tickInterval;
    this->deliver(Tick {});
}

namespace {

/// Cores that only hear of one another: each tick delivers what was sent in the tick before.
struct HeartbeatNet {
    std::map<VmId, Blackboard> cores;
    std::map<VmId, std::vector<PeerMessageArrived>> inbox;
    std::map<VmId, std::int64_t> bytes;
    TimePoint now {std::chrono::seconds(1000)};
    Duration spent {0};
    std::int64_t stamp = 0;
    std::vector<VmListEntry> list;

    void send(const VmId &from, const Actions &actions)
    {
        for (const Action &action : actions) {
            if (const auto *message = std::get_if<SendPeer>(&action)) {
                wire::PeerFrame frame;
                frame.__set_control(message->message);
                this->bytes[from] += static_cast<std::int64_t>(encode(frame).size());
                this->inbox[message->to].push_back({from, message->message});
            }
        }
    }

    void deliver(const VmId &vm, const Event &event)
    {
        const auto start = std::chrono::steady_clock::now();
        const Actions actions = step(this->cores.at(vm), event, this->now);
        this->spent += std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
        this->send(vm, actions);
    }

    void tick()
    {
        this->now += tickInterval;
        const std::map<VmId, std::vector<PeerMessageArrived>> arrived = std::move(this->inbox);
        this->inbox.clear();
        for (const auto &[vm, messages] : arrived) {
            for (const PeerMessageArrived &message : messages) {
                this->deliver(vm, message);
            }
        }
        const bool listDue = this->now.time_since_epoch() % std::chrono::seconds(1) == Duration {0};
        this->stamp += listDue ? 1 : 0;
        for (const auto &[vm, core] : this->cores) {
            if (listDue) {
                this->deliver(vm, VmListRead {this->stamp, this->list});
            }
            this->deliver(vm, Tick {});
        }
    }
};

/// Gives each VM an endpoint of its own, whose residency changes are the news that heartbeats carry.
void addOwnedEndpoint(HeartbeatNet &net, Blackboard &core, int number)
{
    wire::EndpointSpec spec = endpointSpec(number);
    spec.zone = core.settings.zone;
    for (auto &[vm, other] : net.cores) {
        other.config.endpoints[spec.name] = spec;
        wire::ClaimState &claim = other.claims.current[endpointResource(spec.name)];
        claim.resource = endpointResource(spec.name);
        claim.vm = core.settings.vm;
        claim.incarnation = 1;
        claim.offset = number;
    }
    Actions ignored;
    takeEndpoint(core, spec.name, number + 1, net.now, ignored);
}

void changeResidency(HeartbeatNet &net, int number, std::int64_t round)
{
    const VmId vm = "vm-" + std::to_string(number);
    const AdapterVersion adapter = makeAdapterVersion(adapterName(static_cast<int>(round / 2 % 1000)), 1);
    noteResident(net.cores.at(vm), "engine-" + std::to_string(number), adapter, round % 2 == 0, net.now);
}

} // namespace

MembershipCost measureMembership(int vms, int zones, double changesPerSecond, int seconds)
{
    constexpr int ticksPerSecond = 50;
    constexpr int settleSeconds = 5;
    HeartbeatNet net;
    for (int number = 0; number < vms; ++number) {
        const VmId vm = "vm-" + std::to_string(number);
        const ZoneName zone = "zone-" + std::to_string(number % zones);
        net.list.push_back({vm, zone, "127.0.0.1:1", false});
        Blackboard &core = net.cores[vm];
        core.settings.vm = vm;
        core.settings.zone = zone;
        core.settings.incarnation = 1;
    }
    for (int number = 0; number < vms; ++number) {
        addOwnedEndpoint(net, net.cores.at("vm-" + std::to_string(number)), number);
    }
    double due = 0;
    std::int64_t round = 0;
    for (int tick = 0; tick < (settleSeconds + seconds) * ticksPerSecond; ++tick) {
        if (tick == settleSeconds * ticksPerSecond) {
            net.bytes.clear();
            net.spent = Duration {0};
        }
        due += changesPerSecond / ticksPerSecond * vms;
        for (; due >= 1; due -= 1) {
            changeResidency(net, static_cast<int>(round % vms), round / vms);
            ++round;
        }
        net.tick();
    }
    MembershipCost cost;
    for (const auto &[vm, bytes] : net.bytes) {
        cost.busiestBytes = std::max(cost.busiestBytes, static_cast<double>(bytes) / seconds);
        cost.meanBytes += static_cast<double>(bytes) / seconds / vms;
    }
    cost.coreShare = std::chrono::duration<double>(net.spent).count() / seconds / vms;
    return cost;
}

} // namespace lacewing
