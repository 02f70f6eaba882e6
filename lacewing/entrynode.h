// An entry VM on a platform that lists endpoints and stores configuration: combines the data path, the placement of
// adapters and the exchange with the other VMs.
//
//   EntryNode node(context, settings, format, port);
//   node.start();
//   ... pass in what is read from the platform: setConfig(), putEndpoint(), removeEndpoint(), setVersion() ...
//   context.run();   // returns after a planned stop

#pragma once

#include "netaddress.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio/signal_set.hpp>

#include "clock.h"
#include "configtransfer.h"
#include "copyleaseexchange.h"
#include "gateway.h"
#include "historyexchange.h"
#include "listconfirmation.h"
#include "originexchange.h"
#include "originstore.h"
#include "placementowner.h"
#include "platformport.h"
#include "quotaexchange.h"
#include "softwareversions.h"
#include "stalldetector.h"
#include "statusserver.h"
#include "updateprogress.h"
#include "vmgossip.h"
#include "zonechoice.h"
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
    Duration shutdownBound = milliseconds(8000); ///< maximum time from the signal to the end of the process
    std::int32_t millicores = 0; ///< processor time of this VM, in thousandths of a core
    ZoneClaimSettings claim;
    Duration versionBound
        = milliseconds(5000); ///< a new version of an adapter takes effect within this time after it was set
    std::optional<Duration> revocationBound; ///< a key taken away is not used for longer; nothing: not bounded
    std::int32_t zoneCount = 1; ///< zones that the organisations' quotas are divided among
    QuotaBounds quotaBounds;
    double retryShare = 0.2; ///< of all VMs together
    double retryBurst = 50; ///< of all VMs together, in each retryWindow
    Duration retryWindow = milliseconds(10000);
};

/// Source from which this VM learned of a change.
enum class UpdateSource {
    Read, ///< read from the platform by this VM
    PassedOn, ///< forwarded by another VM
};

class EntryNode
{
public:
    EntryNode(asio::io_context &ioContext, EntryNodeSettings nodeSettings, const RequestFormat &format,
              PlatformPort platformPort);

    /// @return error, if any
    NetError start();

    Gateway &gateway();

    /// Applies settings that were read again. Limits and times apply at once; names and addresses stay the same until
    /// the next start, and a difference in them is logged.
    /// @param next valid settings
    void applySettings(const EntryNodeSettings &next);

    /// Applies a configuration that was read or that another VM has sent, if it is newer than the one in force.
    /// @param config decoded
    /// @param record from which it was decoded; empty: it is not passed on to other VMs
    /// @param source from which the record came
    void setConfig(std::shared_ptr<const RouteConfig> config, std::string record = {},
                   UpdateSource source = UpdateSource::Read);
    /// Applies a version of an adapter that was read.
    void setVersion(std::string_view weights, std::int32_t version);
    /// Applies an entry of the platform's list that was read.
    /// @param entry as listed
    /// @param position of the change that produced the entry; may be not known
    void putEndpoint(const EndpointEntry &entry, const StorePosition &position = {});
    /// Applies the removal of an entry from the platform's list.
    /// @param id of the endpoint
    /// @param position as above
    void removeEndpoint(const EndpointName &id, const StorePosition &position = {});
    /// Removes an endpoint whose entry of the platform's list is unusable.
    /// @param id of the endpoint
    /// @param position as above
    void dropUnusable(const EndpointName &id, const StorePosition &position = {});
    /// @param id of an endpoint
    /// @return its instance that is listed; without a start if none is
    EndpointInstance instanceOf(const EndpointName &id);
    /// Called when all changes of a read of the list have been applied.
    /// @param read end, age and kind of the read
    void listRead(const ListRead &read);
    /// @return how long to wait between two reads of the list
    Duration listInterval() const;
    /// Called when the operators' changes have been read.
    /// @param end up to which they were read
    /// @param begun when the read began, by the runtime's clock
    void configRead(const StorePosition &end, TimePoint begun);
    /// Called when an answer of the platform's store has named a later era than all before it: the store has come back
    /// from a copy and may have lost what was written last.
    /// @param era named
    /// @param before era until then
    void recordStoreEra(std::int64_t era, std::int64_t before);
    /// Records the era that the platform's store has named first. It may have begun just before.
    /// @param era that was named
    void recordFirstStoreEra(std::int64_t era);
    /// Reads the list of VMs from the platform; also done periodically.
    void refreshVms();
    /// A reply of an endpoint to an order may have been that to another one.
    /// @param endpoint id of the endpoint
    void distrustOrders(const EndpointName &endpoint);
    /// @param vm name of another VM
    /// @return whether the VM was heard within vmLifetime
    bool heard(const VmId &vm) const;
    /// Counts a record of the platform that could not be read, for the metrics page.
    void countUnreadableRecord();
    /// Records whether the platform's store answered a call; a change is logged.
    void recordStoreResult(bool answered);
    /// Records until when several software versions of a service matter, as stored on the platform.
    void recordStoredMix(const ServiceName &service, std::int64_t untilUnixSeconds);

    /// Further lines for the metrics page; set by the platform adapter.
    std::function<std::string()> extraMetrics;
    /// Returns the counts of calls to the platform's store, for the log; set by the platform adapter.
    std::function<std::string()> describeStoreCalls;
    /// Called on SIGHUP, to read the settings again; set by the component that reads them.
    std::function<void()> onReload;
    /// Called when another VM has read the operators' changes further, up to this position; set by the component that
    /// reads them.
    std::function<void(const StorePosition &position)> onConfigBehind;
    /// Called to read at once whether there are newer operators' changes; set by the component that reads them.
    std::function<void()> onConfigCheck;
    /// Called to read the list of endpoints at once; set by the component that reads it. A read that has begun before
    /// may still be in progress: listRead() names its start.
    std::function<void()> onListCheck;
    /// Called when the store answers again after calls that failed; set by the component that reads the operators'
    /// changes, whose connection may have gone silent.
    std::function<void()> onStoreRegained;
    /// Called with the record of a configuration that another VM has sent, for setConfig(); set by the component that
    /// decodes records. Returns whether the record could be decoded.
    std::function<bool(const std::string &record)> onConfigRecord;

private:
    struct ZoneOwner {
        VmId vm;
        std::int64_t fencing = 0;
        TimePoint heard;
        std::int32_t idlePlaces = -1; ///< free adapter places in the zone; -1: not known
        UpdateProgress news;
        std::vector<EndpointInstance> byIndex; ///< endpoints in the order of the loads in its notices
        bool updateRequestPending = false; ///< a check for missed updates is scheduled
    };

    /// Service and software version of an endpoint.
    struct ListedVersion {
        ServiceName service;
        std::optional<std::string> softwareVersion; ///< nothing: the endpoint is not listed
    };

    /// A stream whose origin is asked for.
    struct OriginQuery {
        OrganisationName organisation;
        ServiceName service;
        std::string attempt; ///< that began it; empty: not named
        OriginDone done;
    };

    /// Whether the streams that were stored have been read.
    enum class OriginRestore {
        NotBegun,
        InProgress,
        Done,
    };

    void checkForStall();
    /// The last demand report that was sent to the owner of a zone.
    struct SentDemand {
        VmId vm;
        wire::DemandReport report;
        TimePoint at;
    };

    void readClaimHolder();
    void checkClaim();
    void claimZone();
    void renewClaim();
    void confirmClaim();
    bool mayOrderNow();
    void becomeOwner();
    void yieldZone(std::string_view reason);
    void onOwnerLeaving(const VmId &vm, const ZoneName &ownerZone);
    void stopOwning(std::string_view reason);
    void reportDemand();
    void heartbeat();
    void sendNotice();
    void sendModelLoads(const wire::ModelLoads &loads);
    void broadcastPlacement(const wire::PlacementNotice &notice);
    static VmContact contactOf(const EntryNodeSettings &settings, std::string token);
    void announce();
    void restoreAnnouncement();
    /// @return time within which this VM needs a proof that it knows the operators' changes
    Duration changesBound() const;
    void checkConfigProof();
    void logConfigProof(std::string_view source, std::optional<Duration> ageBefore) const;
    void passOnConfigRead(TimePoint begun);
    void connectQuota();
    QuotaSettings quotaSettings() const;
    QuotaPorts quotaPorts();
    void connectOrigins();
    CopyLeasePorts copyLeasePorts();
    void connectCrashesAndLimits();
    OriginSettings originSettings() const;
    OriginPorts originPorts();
    ListConfirmationPorts listConfirmationPorts();
    HistoryPorts historyPorts();
    void connectHistory();
    wire::HistoryAnswer describeHistory();
    void learnHistory(const VmId &vm, const wire::HistoryAnswer &answer, TimePoint asked);
    bool isListRead() const;
    bool isHistorySettled() const;
    void learnStore(const VmId &vm, const wire::HistoryAnswer &answer, TimePoint asked);
    bool needsKeyProof() const;
    bool areKeysProven() const;
    bool awaitsKeyProof() const;
    void awaitCompleteStore();
    void beginHistory(std::string_view reason);
    /// @param read start of a read of the list
    /// @return time before it in which changes of the list may have been missed, and other VMs were not asked for them
    Duration unwatchedListTime(TimePoint read) const;
    void noteListGap(TimePoint read);
    void restartVersionWatch(std::string_view reason);
    VersionsKnown versionsKnown(const ServiceName &service) const;
    void awaitHistory(const OriginQuery &query);
    void retryOriginQueries();
    /// Finds the origin of a stream by a record alone.
    /// @param query the stream
    /// @param reason for the log, if no VM has a record
    void findRecordedOrigin(const OriginQuery &query, std::string_view reason);
    void concludeOrigin(const OriginQuery &query, bool listConfirmed);
    std::vector<OriginVm> originVms(bool ownZone) const;
    void findStreamOrigin(const OriginQuery &query);
    void storeMixes();
    OriginStorePorts originStorePorts();
    std::optional<VmId> originStorer() const;
    void connectOriginStore();
    bool needsStoredOrigins() const;
    bool awaitsStoredOrigins(const ServiceName &service) const;
    void restoreOrigins();
    void receiveStoredOrigins(const std::optional<std::vector<std::string>> &records);
    void logSoleVersion(const ServiceName &service, const OriginOutcome &outcome) const;
    std::optional<wire::OriginAnswer> answerVersions(StreamKey key) const;
    ListedVersion listedVersion(const EndpointName &id) const;
    void recordVersionChange(const EndpointName &id, const ListedVersion &before);
    void receiveConfigRead(const wire::ConfigRead &read);
    void connectConfigTransfer();
    ConfigTransferPorts configTransferPorts();
    void dropProofOfStart();
    bool isConfigOutdated() const;
    bool isCatchingUpAtStart() const;
    void recordOwnDemand();
    std::vector<EndpointName> avoidedIn(const ZoneName &zone) const;
    wire::DemandReport demandFor(const ZoneName &ownerZone, const wire::DemandReport &all) const;
    bool hasOwner(const ZoneName &zone) const;
    std::vector<ZoneCandidate> zoneOffers(const std::string &weights) const;
    void chooseZones(const wire::DemandReport &all);
    void receivePlacement(const VmId &vm, const wire::PlacementNotice &notice, Duration heldUp);
    void applyNotice(const wire::PlacementNotice &notice);
    void applyHoldings(const wire::PlacementNotice &notice, Fleet &fleet);
    void recordEndpointIndices(const wire::PlacementNotice &notice);
    void applyLoads(const wire::PlacementNotice &notice, Fleet &fleet);
    void requestMissedUpdates(const ZoneName &ofZone, Duration delay);
    void answerUpdateRequest(const VmId &vm, const wire::NewsAsked &asked);
    void sendLimitUpdate(const wire::LimitNews &news);
    void tellRejections(const VmId &vm);
    void receiveEndpointUpdate(const VmId &vm, const ZoneName &vmZone, const wire::EndpointNews &news);
    void sendDemandReport(const ZoneName &ownerZone, const VmId &vm, const wire::DemandReport &all);
    void dropEndpoint(const EndpointName &id);
    void applyListed(const EndpointEntry &entry, UpdateSource source);
    void applyRemoval(const EndpointName &id, UpdateSource source);
    bool isSuperseded(const StorePosition &position) const;
    void queueListed(const EndpointEntry &entry);
    void forwardListChange();
    void sendList(wire::ListChange change, const ListAnnouncement &statement);
    void applyListChange(const wire::ListChange &change);
    void receiveList(const VmId &vm, const wire::ListChange &change, Duration heldUp);
    void receiveListAge(const VmId &vm, const wire::PlacementNotice &notice, Duration heldUp);
    void recordOwnersRead(const VmId &vm, const ListAnnouncement &statement);
    void onFleetChanged();
    /// Lets the placement owner know of endpoints that get work again only because time has passed.
    void checkEndedEndpoints();
    void awaitSignal();
    void beginStop();
    void checkStop();
    void shareRetryBudget();
    void connectForwarding();
    void refreshContacts();
    std::vector<ForwardingPeer> forwardingPeers(const ServiceName &service) const;
    bool ready() const;
    std::string metricsText() const;
    void logTraffic();
    void every(Duration interval, const std::function<void()> &job);
    void after(Duration delay, const std::function<void()> &job);

    asio::io_context &context;
    RuntimeClock clock;
    EntryNodeSettings settings;
    PlatformPort port;
    std::string token = makeToken(); ///< that other VMs have to present with forwarded requests
    Gateway dataPath;
    VmGossip gossip;
    std::size_t retryBudgetVms = 0; ///< VMs that share the budget of retries; 0: not known yet
    PlacementOwner owner;
    QuotaExchange quota;
    OriginExchange origins;
    OriginStore originStore;
    ListConfirmation listConfirmation;
    HistoryExchange history;
    CopyLeaseExchange copyLeases;
    ConfigTransfer configTransfer;
    SoftwareVersions versions; ///< of the endpoints' software, by service
    std::size_t endedEndpoints = 0; ///< as last checked
    TimePoint versionWatchBegun; ///< at the start, or when it began again after a gap
    std::vector<OriginQuery> originQueries; ///< that wait for what other VMs have seen
    std::mt19937_64 random;
    StatusServer readyServer;
    StatusServer metricsServer;
    ZoneClaim claim;
    std::map<VmId, VmContact> contacts; ///< of all VMs, as announced through the platform
    TimePoint contactsRead; ///< when the contacts were last asked for
    std::map<ZoneName, ZoneOwner> owners;
    std::map<std::string, RequestedZone> requestedZones; ///< by adapter that requests of this VM wait for
    std::map<ZoneName, SentDemand> sentDemand; ///< last reports to the owners of other zones
    std::map<EndpointName, TimePoint>
        pendingRemovals; ///< removed from the list around an outage of the store, and kept for now
    asio::signal_set signals;
    TimePoint lastStoreFailure; ///< when a call last failed in an outage of the store
    TimePoint startedAt;
    std::optional<TimePoint> configCheckBegun; ///< start of the latest read on request
    wire::ConfigRead receivedAtConfigCheck; ///< datagrams that had been received by then; for the zone's reader
    wire::ListChange pendingListChange; ///< changes read by this VM and not forwarded yet
    ListChain listChain; ///< of the changes that this VM has forwarded as the owner
    AnnouncementBudget rejectionAnnouncements; ///< of this VM, to all others
    std::int64_t listChangesIgnored = 0; ///< announced by owners and not following what is known
    std::int64_t unreadableRecords = 0; ///< records of the platform that could not be read
    bool operatorChangesRead = false; ///< all operators' changes from before the start have been read
    std::optional<TimePoint> vmsReadBegun; ///< start of the latest read of the VMs and of what they have stored
    OriginRestore originRestore = OriginRestore::NotBegun;
    TimePoint originRestoreBegun; ///< first time
    std::int64_t originsRestored = 0; ///< streams
    bool storeUp = true;
    bool storeQueryPending = false; ///< a call about the claim is in flight to the store
    StallDetector stallDetector;
    bool reportPending = false;
    bool lastDemandEmpty = true;
    bool stopping = false;
    TimePoint stopAsked;
};

} // namespace lacewing
