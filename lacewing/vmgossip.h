// Exchanges datagrams between the entry VMs: which VMs are alive, the requests that each runs and queues, and the
// weights that endpoints hold.
//
//   VmGossip gossip(context, clock, self, incarnation);
//   gossip.open("10.0.0.1:7380");
//   gossip.addContact(contact);           // VMs known from the platform
//   gossip.sendDemand(vm, report); gossip.sendPlacementToAll(notice); gossip.sendHeartbeat();
//
// A datagram carries the full state of its subject, so that the next one makes up for a lost one. A datagram that is
// older than the last one from the same process is dropped. Datagrams for all VMs reach other zones through a relay VM
// in each zone (datagramroutes.h). A forwarded datagram does not show the address of its sender, and may be reordered.

#pragma once

#include "netaddress.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "datagramcounts.h"
#include "knownvm.h"
#include "lacewing_types.h"
#include "platformport.h"
#include "zoneclaim.h"
#include "zoneledger.h"

namespace lacewing {

class RuntimeClock;

class VmGossip
{
public:
    VmGossip(asio::io_context &ioContext, RuntimeClock &runtimeClock, VmContact own, std::int64_t ownIncarnation);

    /// @return error, if any
    NetError open();
    void close();

    /// Adds another VM, or updates the address of a VM that is not alive.
    void addContact(const VmContact &contact);

    void sendDemand(const VmId &vm, const wire::DemandReport &report);
    /// Sends a heartbeat to all VMs of the zone and some of each other zone; while leaving, to all VMs.
    /// @param news crash update that is repeated with the heartbeat; may be empty
    void sendHeartbeat(const wire::CrashNews &news = {});
    void sendPlacementToAll(const wire::PlacementNotice &notice);
    /// Answers a request for missed updates.
    /// @param vm recipient
    /// @param notice updates that it has missed
    void sendPlacement(const VmId &vm, const wire::PlacementNotice &notice);
    /// Requests missed updates.
    /// @param vm owner of a zone
    /// @param asked which of its updates are missing
    void sendUpdateRequest(const VmId &vm, const wire::NewsAsked &asked);
    void sendPromptToAll(const wire::PromptSent &prompt);
    void sendEndpointUpdateToAll(const wire::EndpointNews &news);
    void sendCrashUpdateToAll(const wire::CrashNews &news);
    /// @param news limit update of an endpoint
    /// @param zoneOnly whether only VMs of this zone use the endpoint
    void sendLimitUpdate(const wire::LimitNews &news, bool zoneOnly);

    /// @param vm recipient
    /// @param digest shares of the endpoints of a zone
    void sendRejectionDigest(const VmId &vm, const wire::RejectionDigest &digest);
    /// Tells a VM that the caller of a request that was forwarded to it has left.
    void sendForwardCancel(const VmId &vm, const std::string &id);
    void sendQuotaAsk(const VmId &vm, const wire::QuotaAsk &ask);
    void sendQuotaAnswer(const VmId &vm, const wire::QuotaAnswer &answer);
    void sendQuotaLedgerToAll(const wire::QuotaLedgerNews &news);
    void sendCopyLeaseAsk(const VmId &vm, const wire::CopyLeaseAsk &ask);
    void sendCopyLeaseAnswer(const VmId &vm, const wire::CopyLeaseAnswer &answer);
    void sendOriginRecords(const VmId &vm, const wire::OriginRecords &records);
    void sendOriginAsk(const VmId &vm, const wire::OriginAsk &ask);
    void sendOriginAnswer(const VmId &vm, const wire::OriginAnswer &answer);
    /// @return the other VMs of this zone that may be running
    std::vector<ZoneVm> otherZoneVms() const;
    /// Asks a VM for its configuration.
    /// @param vm to ask
    /// @param known version in force at this VM
    void sendConfigAsk(const VmId &vm, std::int64_t known);
    /// Tells the VMs of this zone how far the operators' changes went.
    void sendConfigRead(const wire::ConfigRead &read);
    /// @return processes of this zone that are alive, with the number of the last datagram of each; the offset is not
    /// set
    wire::ConfigRead receivedNumbers() const;
    /// @return number of the last datagram that this VM has sent
    std::int64_t lastNumber() const;
    /// @return what identifies this process among all VMs
    std::int64_t ownIncarnation() const;

    /// @return whether the VM was heard within vmLifetime
    bool alive(const VmId &vm) const;
    const std::map<VmId, KnownVm> &vms() const;
    /// @return number of VMs that may be serving requests, including this one. VMs that are not heard count, since they
    /// may be cut off from this VM only, and so do VMs that are leaving and still heard.
    std::size_t vmsInUse() const;

    /// @return the other VMs of the zone, as seen by this VM
    ZoneView zoneView() const;

    void sendListAsk(const VmId &vm, const wire::ListAsk &ask);
    void sendListAnswer(const VmId &vm, const wire::ListAnswer &answer);
    void sendHistoryAsk(const VmId &vm, const wire::HistoryAsk &ask);
    void sendHistoryAnswer(const VmId &vm, const wire::HistoryAnswer &answer);
    void sendModelLoads(const VmId &vm, const wire::ModelLoadNews &news);
    /// Forwards changes of the platform's list to the VMs of this zone.
    void sendListToZone(const wire::ListChange &change);
    /// @return zones of all VMs that may be running, including the zone of this VM
    std::set<ZoneName> zonesInUse() const;

    /// Datagrams and bytes since the start, for the metrics page.
    DatagramCounts counts;

    /// State of this VM that is sent with each datagram.
    bool leaving = false;
    StorePosition configPosition {unnamedEra, 0}; ///< how far this VM has read the operators' changes
    std::int64_t configVersion = 0; ///< of the configuration in force; sent with heartbeats
    std::int32_t millicores = 0;
    /// Services that this VM is cut off from; sent with heartbeats.
    std::vector<ServiceName> unreachableServices;

    /// The last argument is the excess transit time of the datagram (datagramdelay.h).
    std::function<void(const VmId &, const wire::PlacementNotice &, Duration)> onPlacement;
    std::function<void(const VmId &, const ZoneName &, const wire::DemandReport &)> onDemand;
    std::function<void(const VmId &, const ZoneName &)>
        onLeaving; ///< called for each datagram of a VM that is stopping
    std::function<void(const wire::PromptSent &)> onPromptUpdate;
    std::function<void(const VmId &, const wire::NewsAsked &)> onUpdateRequest;
    std::function<void(const VmId &, const ZoneName &, const wire::EndpointNews &)> onEndpointUpdate;
    std::function<void(const VmId &, const ZoneName &, const wire::QuotaAsk &)> onQuotaAsk;
    std::function<void(const wire::QuotaAnswer &)> onQuotaAnswer;
    std::function<void(const VmId &, const ZoneName &, const wire::QuotaLedgerNews &)> onQuotaLedger;
    std::function<void(const VmId &, const wire::CopyLeaseAsk &)> onCopyLeaseAsk;
    std::function<void(const VmId &, const wire::CopyLeaseAnswer &)> onCopyLeaseAnswer;
    std::function<void(const wire::OriginRecords &)> onOriginRecords;
    std::function<void(const VmId &, const wire::OriginAsk &)> onOriginAsk;
    std::function<void(const VmId &, const wire::OriginAnswer &)> onOriginAnswer;
    std::function<void(const VmId &, const wire::ListAsk &)> onListAsk;
    std::function<void(const VmId &, const wire::ListAnswer &)> onListAnswer;
    std::function<void(const VmId &, const wire::HistoryAsk &)> onHistoryAsk;
    std::function<void(const VmId &, const wire::HistoryAnswer &)> onHistoryAnswer;
    std::function<void(const wire::ModelLoadNews &)> onModelLoads;
    std::function<void(const wire::CrashNews &)> onCrashUpdate;
    std::function<void(const VmId &, const wire::LimitNews &)> onLimitUpdate;
    std::function<void(const wire::RejectionDigest &)> onRejectionDigest;
    std::function<void(const VmId &)> onVmStarted; ///< called for the first datagram of another process
    std::function<void(const VmId &, const std::string &id)> onForwardCancel;
    std::function<void(const VmId &, const wire::ListChange &, Duration)>
        onList; ///< only for datagrams from VMs of this zone
    std::function<void(const wire::ConfigRead &)> onConfigRead; ///< only for datagrams from VMs of this zone
    std::function<void(const StorePosition &)> onConfigPosition; ///< another VM has read further than this one
    /// Another VM has a newer configuration in force.
    std::function<void(const VmId &, const ZoneName &, std::int64_t version)> onConfigVersion;
    /// Another VM that has a version in force asks for a newer configuration.
    std::function<void(const VmId &, std::int64_t known)> onConfigAsk;

private:
    bool claimsBefore(const VmId &vm, std::int32_t vmMillicores) const;
    KnownVm &knownVm(const VmId &vm);
    void receive();
    void onDatagram(std::size_t size);
    void receiveDirect(const wire::VmDatagram &datagram);
    void receivePassedOn(const wire::VmDatagram &datagram);
    void forward(const wire::VmDatagram &carrier);
    void dispatch(const wire::VmDatagram &datagram, Duration heldUp);
    void dispatchOrigins(const wire::VmDatagram &datagram);
    wire::VmDatagram newDatagram();
    wire::VmDatagram newTimedDatagram();
    void sendTo(const KnownVm &vm, const wire::VmDatagram &datagram);
    void sendBytes(const KnownVm &vm, DatagramKind kind, const std::string &bytes);
    void sendToVm(const VmId &vm, const wire::VmDatagram &datagram);
    void sendToAll(wire::VmDatagram datagram);
    void sendToZone(const wire::VmDatagram &datagram);

    RuntimeClock &clock;
    VmContact self;
    std::int64_t incarnation;
    std::int64_t nextNumber = 1;
    std::uint64_t heartbeatTurn; ///< turn of the next heartbeat; each process starts at another number
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, 65536> receiveBuffer {};
    std::map<VmId, KnownVm> knownVms;
};

} // namespace lacewing
