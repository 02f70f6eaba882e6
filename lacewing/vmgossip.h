// Datagrams between the entry VMs: who is alive, what each runs and waits for, what endpoints hold.
//
//   VmGossip gossip(context, clock, self, incarnation);
//   gossip.open("10.0.0.1:7380");
//   gossip.meet(contact);                 // VMs known from the platform
//   gossip.sendDemand(vm, report); gossip.sendPlacementToAll(notice); gossip.sendHeartbeat();
//
// A datagram states all of its subject, so that a lost one is made good by the next. One that is older than
// the last from the same process is dropped. What is for all VMs reaches other zones by way of one VM in each
// (datagramroutes); such a datagram says nothing of how its sender can be reached, and may be overtaken by others.

#pragma once

#include "netaddress.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include <boost/asio/ip/udp.hpp>

#include "datagramcounts.h"
#include "knownvm.h"
#include "lacewing_types.h"
#include "platformport.h"
#include "zoneclaim.h"

namespace lacewing {

class RuntimeClock;

class VmGossip
{
public:
    VmGossip(asio::io_context &ioContext, RuntimeClock &runtimeClock, VmContact own, std::int64_t ownIncarnation);

    /// @return what failed, if anything
    NetError open();
    void close();

    /// @param contact another VM, or a new address of one
    void meet(const VmContact &contact);

    void sendDemand(const VmId &vm, const wire::DemandReport &report);
    /// To all VMs of the zone and some of each other one; while leaving, to all.
    /// @param news told again with it; may be empty
    void sendHeartbeat(const wire::CrashNews &news = {});
    void sendPlacementToAll(const wire::PlacementNotice &notice);
    /// @param vm that lacks them
    /// @param notice news that it has missed
    void sendPlacement(const VmId &vm, const wire::PlacementNotice &notice);
    /// @param vm owner of a zone
    /// @param asked which news of it are lacked
    void sendNewsAsked(const VmId &vm, const wire::NewsAsked &asked);
    void sendPromptToAll(const wire::PromptSent &prompt);
    void sendEndpointNewsToAll(const wire::EndpointNews &news);
    void sendCrashNewsToAll(const wire::CrashNews &news);
    /// @param news of an endpoint
    /// @param zoneOnly whether only VMs of this zone use it
    void sendLimitNews(const wire::LimitNews &news, bool zoneOnly);

    /// @return whether the VM was heard lately
    bool alive(const VmId &vm) const;
    const std::map<VmId, KnownVm> &vms() const;
    /// @return VMs that may be taking requests, this one included; those that can't be heard count, since they may
    /// be cut off from this one only
    std::size_t vmsInUse() const;

    /// @return what this VM sees of the others of its zone
    ZoneView zoneView() const;

    /// Passes changes of the platform's list on to the VMs of this zone.
    void sendListToZone(const wire::ListChange &change);
    /// @return zones of all VMs in use, this one's included
    std::set<ZoneName> zonesInUse() const;

    /// Datagrams and bytes so far, for the metrics page.
    DatagramCounts counts;

    /// Told to the others with each datagram.
    bool leaving = false;
    std::int64_t configOffset = 0;
    std::int32_t millicores = 0;

    /// The last argument is how long the datagram was held up on its way.
    std::function<void(const VmId &, const wire::PlacementNotice &, Duration)> onPlacement;
    std::function<void(const VmId &, const ZoneName &, const wire::DemandReport &)> onDemand;
    std::function<void(const VmId &, const ZoneName &)> onLeaving; ///< at each datagram of a VM that stops
    std::function<void(const wire::PromptSent &)> onPrompt;
    std::function<void(const VmId &, const wire::NewsAsked &)> onNewsAsked;
    std::function<void(const VmId &, const ZoneName &, const wire::EndpointNews &)> onEndpointNews;
    std::function<void(const wire::CrashNews &)> onCrashNews;
    std::function<void(const wire::LimitNews &)> onLimitNews;
    std::function<void(const VmId &, const wire::ListChange &, Duration)> onList; ///< from VMs of this zone only
    std::function<void(std::int64_t)> onConfigOffset; ///< another VM has read more than this one

private:
    bool claimsBefore(const VmId &vm, std::int32_t vmMillicores) const;
    void receive();
    void onDatagram(std::size_t size);
    void takeIn(const wire::VmDatagram &datagram);
    void takeInPassedOn(const wire::VmDatagram &datagram);
    void passOn(const wire::VmDatagram &carrier);
    void handOver(const wire::VmDatagram &datagram, Duration heldUp);
    wire::VmDatagram begin();
    wire::VmDatagram beginTimed();
    void sendTo(const KnownVm &vm, const wire::VmDatagram &datagram);
    void sendBytes(const KnownVm &vm, DatagramKind kind, const std::string &bytes);
    void sendToName(const VmId &vm, const wire::VmDatagram &datagram);
    void sendToAll(wire::VmDatagram datagram);
    void sendToZone(const wire::VmDatagram &datagram);

    RuntimeClock &clock;
    VmContact self;
    std::int64_t incarnation;
    std::int64_t nextNumber = 1;
    std::uint64_t heartbeats; ///< turn of the next one, from a start of this process
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, 65536> space {};
    std::map<VmId, KnownVm> known;
};

} // namespace lacewing
