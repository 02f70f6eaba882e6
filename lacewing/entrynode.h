// An entry VM on a platform that lists endpoints and keeps configuration: puts the data path, the placement of
// adapters and the exchange with the other VMs together.
//
//   EntryNode node(context, settings, format, port);
//   node.start();
//   ... feed it what the platform says: gateway(), putEndpoint(), removeEndpoint(), setVersion() ...
//   context.run();   // returns after a planned stop

#pragma once

#include "netaddress.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio/signal_set.hpp>

#include "clock.h"
#include "gateway.h"
#include "newsprogress.h"
#include "placementowner.h"
#include "platformport.h"
#include "stallwatch.h"
#include "statusserver.h"
#include "vmgossip.h"
#include "wantedzone.h"
#include "zoneclaim.h"

namespace lacewing {

struct EntryNodeSettings {
    VmId vm;
    ZoneName zone;
    std::string callerAddress;
    std::string readyAddress;
    std::string readyPath;
    std::string metricsAddress; ///< empty: no metrics are served
    std::string datagramAddress;
    Duration shutdownBound = milliseconds(8000); ///< from the signal to the end of the process
    std::int32_t millicores = 0; ///< processor time of this VM, in thousandths of a core
    ZoneClaimSettings claim;
    Duration versionBound
        = milliseconds(5000); ///< a new version of an adapter is in force this long after it was named
    double retryShare = 0.2; ///< of all VMs together
    double retryBurst = 50; ///< of all VMs together
};

/// How this VM came to know a change of the platform's list.
enum class ListNews {
    Read, ///< by a read of its own
    PassedOn, ///< by the VM of its zone that reads for the others
};

class EntryNode
{
public:
    EntryNode(asio::io_context &ioContext, EntryNodeSettings nodeSettings, const RequestFormat &format,
              PlatformPort platformPort);

    /// @return what failed, if anything
    NetError start();

    Gateway &gateway();

    /// The settings were read again. Limits and times are taken over at once; names and addresses hold until the
    /// next start, and a difference in them is logged.
    /// @param next valid settings
    void applySettings(const EntryNodeSettings &next);

    /// A configuration was read.
    void setConfig(std::shared_ptr<const RouteConfig> config);
    /// A version of an adapter was read.
    void setVersion(std::string_view weights, std::int32_t version);
    /// An entry of the platform's list was read.
    /// @param entry as listed
    /// @param offset of the change by which it came to be so; noOffset: not known
    void putEndpoint(const EndpointEntry &entry, std::int64_t offset = noOffset);
    /// An entry was taken off the platform's list.
    /// @param id of the endpoint
    /// @param offset as above
    void removeEndpoint(const EndpointName &id, std::int64_t offset = noOffset);
    /// An entry of the platform's list can't be used.
    /// @param id of the endpoint
    /// @param offset as above
    void dropUnusable(const EndpointName &id, std::int64_t offset = noOffset);
    /// The list is complete as far as the platform has it.
    /// @param read how far, and how it came
    void listRead(const ListRead &read);
    /// @return how long to wait between two reads of the list
    Duration listInterval() const;
    /// The operators' changes were read.
    /// @param offset up to which they were read
    void configRead(std::int64_t offset);
    /// Asks the platform which VMs there are; done by itself now and then.
    void meetVms();
    /// @param vm name of another VM
    /// @return whether it was heard lately
    bool heard(const VmId &vm) const;
    /// A record of the platform could not be read; counted for the metrics page.
    void noteUnreadable();
    /// Whether the platform's store answered; noted when it changes.
    void storeAnswered(bool answered);

    /// Further lines for the metrics page; set by whoever connects the platform.
    std::function<std::string()> onMetrics;
    /// Calls on the platform's store so far, for the log; set likewise.
    std::function<std::string()> onStoreCalls;
    /// The settings are to be read again (SIGHUP); set by whoever reads them.
    std::function<void()> onReload;
    /// Another VM has read the operators' changes up to this offset; set by whoever reads them.
    std::function<void(std::int64_t offset)> onMoreConfig;

private:
    struct EndpointIncarnation {
        EndpointName id;
        std::int64_t born = 0;
    };

    struct ZoneOwner {
        VmId vm;
        std::int64_t fencing = 0;
        TimePoint heard;
        std::int32_t idlePlaces = -1; ///< for adapters in the zone; -1: not known
        NewsProgress news;
        std::vector<EndpointIncarnation> byIndex; ///< endpoints in the order of the loads that its notices tell
        bool askPending = false; ///< looked at again soon whether news are missing
    };

    void lookForStall();
    /// The last report that the owner of a zone got.
    struct SentDemand {
        VmId vm;
        wire::DemandReport report;
        TimePoint at;
    };

    void checkClaim();
    void claimZone();
    void confirmClaim();
    bool mayOrderNow();
    void becomeOwner();
    void yieldZone(std::string_view reason);
    void onOwnerLeaving(const VmId &vm, const ZoneName &ownerZone);
    void stopOwning(std::string_view reason);
    void report();
    void heartbeat();
    void sendNotice();
    void spread(const wire::PlacementNotice &notice);
    void announce();
    void noteOwnDemand();
    wire::DemandReport demandFor(const ZoneName &ownerZone, const wire::DemandReport &all) const;
    bool hasOwner(const ZoneName &zone) const;
    std::vector<ZoneOffer> zoneOffers(const std::string &weights) const;
    void chooseZones(const wire::DemandReport &all);
    void receivePlacement(const VmId &vm, const wire::PlacementNotice &notice, Duration heldUp);
    void applyNotice(const wire::PlacementNotice &notice);
    void applyHoldings(const wire::PlacementNotice &notice, Fleet &fleet);
    void noteIndices(const wire::PlacementNotice &notice);
    void applyLoads(const wire::PlacementNotice &notice, Fleet &fleet);
    void askForNews(const ZoneName &ofZone, Duration delay);
    void answerNews(const VmId &vm, const wire::NewsAsked &asked);
    void sendLimitNews(const wire::LimitNews &news);
    void receiveEndpointNews(const VmId &vm, const ZoneName &vmZone, const wire::EndpointNews &news);
    void reportTo(const ZoneName &ownerZone, const VmId &vm, const wire::DemandReport &all);
    void dropEndpoint(const EndpointName &id);
    void takeIn(const EndpointEntry &entry, ListNews news);
    void takeOff(const EndpointName &id, ListNews news);
    bool isSuperseded(std::int64_t offset) const;
    void noteListed(const EndpointEntry &entry);
    void passListOn();
    void sendList(wire::ListChange change, const ListStatement &statement);
    void takeInChange(const wire::ListChange &change);
    void receiveList(const VmId &vm, const wire::ListChange &change, Duration heldUp);
    void receiveListAge(const VmId &vm, const wire::PlacementNotice &notice, Duration heldUp);
    void noteOwnersRead(const VmId &vm, const ListStatement &statement);
    void onFleetChanged();
    void awaitSignal();
    void beginStop();
    void checkStop();
    void shareRetryBudget();
    bool ready() const;
    std::string metricsText() const;
    void logTraffic();
    void every(Duration interval, const std::function<void()> &job);
    void after(Duration delay, const std::function<void()> &job);

    asio::io_context &context;
    RuntimeClock clock;
    EntryNodeSettings settings;
    PlatformPort port;
    Gateway dataPath;
    VmGossip gossip;
    PlacementOwner owner;
    StatusServer readyServer;
    StatusServer metricsServer;
    ZoneClaim claim;
    std::map<ZoneName, ZoneOwner> owners;
    std::map<std::string, AskedZone> askedZones; ///< for the adapters that requests of this VM wait for
    std::map<ZoneName, SentDemand> sentDemand; ///< to the owners of other zones
    std::map<EndpointName, TimePoint> lapsed; ///< taken off the list around an outage of the store
    asio::signal_set signals;
    TimePoint storeFailed; ///< when a call last failed in an outage of the store
    wire::ListChange listChange; ///< read by this VM and not passed on yet
    ListChain listChain; ///< of what this VM, as the owner, has passed on
    std::int64_t unreadable = 0; ///< records of the platform that could not be read
    bool operatorsRead = false; ///< all operators' changes from before the start were read
    bool storeUp = true;
    bool asking = false; ///< the store was asked about the claim and has not answered yet
    StallWatch stallWatch;
    bool reportPending = false;
    bool demandEmpty = true;
    bool stopping = false;
    TimePoint stopAsked;
};

} // namespace lacewing
