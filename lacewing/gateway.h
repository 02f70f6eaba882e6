// The data path of an entry VM: accepts callers' requests, selects an endpoint for each and relays the answers.
//
//   Gateway gateway(context, clock, settings, format);
//   gateway.listen(address);
//   gateway.setConfig(config);                      // for each newer configuration
//   gateway.changeFleet([](Fleet &fleet) { ... });  // for each change of an endpoint
//
// Runs only on the thread of the event loop. Decisions are free functions in separate files (endpointchoice,
// retrydecision, endpointtrust, adapterversions); this class holds their state and carries them out.

#pragma once

#include "netaddress.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "adapterversions.h"
#include "configproof.h"
#include "coresettings.h"
#include "crashwatch.h"
#include "endpointinstance.h"
#include "endpointlink.h"
#include "fleet.h"
#include "forwarding.h"
#include "gatewaycounters.h"
#include "lacewing_types.h"
#include "originoutcome.h"
#include "quotaoutcome.h"
#include "reachwatch.h"
#include "requestformat.h"
#include "resultcode.h"
#include "retrybudget.h"
#include "routeconfig.h"
#include "sendgate.h"
#include "stalldetector.h"
#include "startprogress.h"
#include "stopadmission.h"

namespace lacewing {

class CallerConnection;
class OrganisationMetrics;
class Relay;
class RuntimeClock;

struct GatewaySettings {
    VmId vm;
    ZoneName zone;
    double retryShare = 0.2; ///< retries as a share of requests, for each VM
    double retryBurst = 1; ///< maximum unused retries that this VM accumulates for each service
    double retryAtStart = 0; ///< unused retries of each service when this VM starts
    std::size_t maxConnections = 2000; ///< of callers
    std::optional<Duration> revocationBound; ///< a key taken away is not used for longer; nothing: no proof is needed
    Duration versionBound = milliseconds(5000); ///< a new version is in force within this time after its acknowledgment
};

class Gateway
{
public:
    /// @param ioContext event loop; outlives the gateway
    /// @param runtimeClock source of all times
    /// @param gatewaySettings zone of this VM, and limits
    /// @param requestFormat reads and writes the header fields of requests and answers
    Gateway(asio::io_context &ioContext, RuntimeClock &runtimeClock, GatewaySettings gatewaySettings,
            RequestFormat requestFormat);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Starts to accept callers' connections.
    /// @param address numeric host:port
    /// @return what failed, if anything
    NetError listen(std::string_view address);

    /// Starts to accept requests that other VMs forward.
    /// @param address numeric host:port
    /// @param token that the other VMs have to present
    /// @return what failed, if anything
    NetError listenForVms(std::string_view address, std::string token);

    /// @param next configuration; applied if its version is higher than that of the current one
    /// @param source for the log: by which way it came
    /// @return whether the configuration was applied
    bool setConfig(std::shared_ptr<const RouteConfig> next, std::string_view source = "read");

    /// Changes the state of the endpoints, then retries the placement of waiting requests.
    /// @param change modifies the state
    void changeFleet(const std::function<void(Fleet &)> &change);

    /// @param weights MODEL/ADAPTER
    /// @param version to be used for the weights
    /// @param isNew whether the version was just set; otherwise the time of the change is unknown
    void setVersion(std::string_view weights, std::int32_t version, bool isNew);

    /// @param share retries as a share of requests
    /// @param burst maximum unused retries that this VM accumulates for each service
    /// @param perSecond retries that it earns by time for each service
    void setRetryLimits(double share, double burst, double perSecond);
    /// @param bound on the use of a key that was taken away; nothing: no proof is needed
    void setRevocationBound(std::optional<Duration> bound);
    /// @return maximum unused retries that this VM accumulates for each service
    double retryBurst() const;

    /// Drops the connections to an endpoint that is gone or was restarted, and removes its requests from the usage
    /// counts.
    /// @param id endpoint
    void dropEndpoint(const EndpointName &id);

    /// Called several times a second by a timer, to notice that this VM has stood still.
    void tick();
    /// @return whether requests may have waited to be read, since this VM stood still until a moment ago
    bool hasStalledLately() const;

    /// @return how long ago a signal that is handled now may have come: since the VM last ran, if it stood still
    Duration signalDelay() const;

    /// From now on, answers announce that the connection closes. Connections stay open. Requests that would probably
    /// outlast the process are refused.
    /// @param end of the process
    void beginStop(TimePoint end);
    /// From now on, new requests are refused and their connections are closed.
    void refuseNew();
    /// Stops accepting connections and closes each open connection once it is idle.
    /// @return number of connections accepted from the listener's backlog
    std::size_t closeListener();
    /// @return whether connections are accepted
    bool listening() const;
    /// @return number of callers' connections
    std::size_t connections() const;
    /// @return number of requests in progress
    std::size_t openRequests() const;
    /// @return number of callers known not to have received their complete answer
    std::size_t deliveringCallers() const;
    /// @return bytes of answers not yet written to the kernel
    std::size_t unwrittenBytes() const;
    /// Closes the listener and aborts all connections.
    void close();

    /// @return requests that this VM has in progress at each endpoint, and weights that requests wait for
    wire::DemandReport demand() const;

    const std::shared_ptr<const RouteConfig> &config() const;
    const Fleet &fleet() const;
    const AdapterVersions &versions() const;
    const GatewayCounters &counters() const;
    /// @return counts and latencies by organisation
    OrganisationMetrics &organisationMetrics();
    const OrganisationMetrics &organisationMetrics() const;
    /// Records what an instance states about itself in an answer.
    /// @param instance that has sent the answer
    /// @param stated in its answer
    /// @param request id of the request that is answered, for the log
    void recordStatement(const EndpointInstance &instance, const EndpointStatement &stated, const std::string &request);
    /// Records that another process has answered at the address of an endpoint, and tells the other VMs.
    /// @param instance that was asked for there
    void recordDisplaced(const EndpointInstance &instance);
    /// Decides whether an order or a question may be sent to an endpoint now.
    /// @param instance to send to
    /// @param what is sent, for the log
    bool maySend(const EndpointInstance &instance, const std::string &what);
    /// Records that an endpoint has started.
    /// @param id of the endpoint, which is listed
    void recordEndpointStart(const EndpointName &id);

    /// @return detection of requests that crash endpoints
    CrashWatch &crashWatch();
    const CrashWatch &crashWatch() const;

    /// Records that a prompt of any VM joined an endpoint's prompt queue, or left it.
    void applyPromptUpdate(const wire::PromptSent &prompt);

    /// Applies a VM's report that an endpoint fails or works.
    /// @param vm that reports, possibly this one
    /// @param vmZone zone of that VM
    /// @param update the report
    /// @return whether the endpoint changed between shunned and not shunned
    bool applyEndpointUpdate(const VmId &vm, const ZoneName &vmZone, const wire::EndpointNews &update);

    /// Applies another VM's update of an endpoint's request rate limit.
    /// @param vm that has sent it
    /// @param update the update
    void applyLimitUpdate(const VmId &vm, const wire::LimitNews &update);
    /// States again to other VMs how many requests of this VM each endpoint with a limit has not answered.
    void repeatUnanswered();

    /// @param ofZone zone of the endpoints
    /// @return for each service with a rejection limit, the shares of its endpoints in the zone, for a VM that has
    /// started
    std::vector<wire::RejectionDigest> rejectionDigests(const ZoneName &ofZone) const;
    /// Applies what a VM of the endpoints' zone knows of their rejections.
    void applyRejectionDigest(const wire::RejectionDigest &digest);

    /// @return watch on the connection to the endpoints of each service
    ReachWatch &reachWatch();
    const ReachWatch &reachWatch() const;

    /// Returns the VMs that may take over requests to a service; if not set, none is forwarded.
    std::function<std::vector<ForwardingPeer>(const ServiceName &)> forwardingPeers;
    /// Ends a request that another VM has forwarded, as its caller has left.
    /// @param vm that has forwarded it
    /// @param id of the request
    void cancelForwarded(const VmId &vm, std::string_view id);
    /// Called when the caller of a request that was forwarded to another VM has left.
    std::function<void(const VmId &, const std::string &id)> onForwardCancelled;

    /// Called when this VM was cut off from a service, or is connected to it again.
    std::function<void()> onReachUpdate;
    /// Called when the address or token of a VM seems to be out of date.
    std::function<void()> onPeersOutdated;

    /// How current the configuration is known to be.
    ConfigProof configProof;
    /// Returns whether another VM is known to have a newer configuration; if not set, none is.
    std::function<bool()> isConfigOutdated;
    /// Called with the record of a configuration that another VM has sent.
    std::function<void(const VmId &, const std::string &record)> onConfigRecord;

    /// Charges a request to the quota of its organisation; if not set, no quota is kept.
    std::function<void(const Organisation &, double units, QuotaDone)> acquireQuota;
    /// Returns the units of a request that has not run, asked for at a time.
    std::function<void(const OrganisationName &, double units, TimePoint asked)> giveBackQuota;

    /// Asks for the lease of a suspected request (copyleaseexchange.h); if not set, copies are sent without one.
    std::function<std::int64_t(RequestDigest, std::function<void()> onGranted)> acquireCopyLease;
    /// Gives up a lease, or the wait for it; unsettled: the endpoint may still run the copy, or has crashed under it.
    std::function<void(std::int64_t ticket, bool unsettled)> releaseCopyLease;

    /// Remembers the software version of the endpoint that a resumable stream is sent to; if not set, nothing is.
    std::function<void(const OrganisationName &, const ServiceName &, const std::string &attempt,
                       const std::string &softwareVersion)>
        recordOrigin;
    /// Called when the first bytes of a resumable stream have arrived, which then goes on at no other version.
    std::function<void(const OrganisationName &, const ServiceName &, const std::string &attempt,
                       const std::string &softwareVersion)>
        onStreamBegun;
    /// Asks whether the list of endpoints has all that is listed now; if not set, it counts as such.
    std::function<void(std::function<void(bool confirmed)> done)> confirmList;
    /// Finds the software version that began a stream; if not set, any version may go on with it.
    std::function<void(const OrganisationName &, const ServiceName &, const std::string &attempt, OriginDone)>
        findOrigin;

    /// Calls recordOrigin() and onStreamBegun() for each stream in progress.
    /// @param service that has a second software version now
    void recordBegunOrigins(const ServiceName &service);

    /// Called when an endpoint has stated something that decides whether it gets requests.
    std::function<void()> onStatement;
    /// Called with each update for other VMs of an endpoint's rate limit, and of requests sent to that endpoint.
    std::function<void(const wire::LimitNews &)> onLimitUpdate;
    /// Called with each report for other VMs that an endpoint fails or works.
    std::function<void(const wire::EndpointNews &)> onEndpointUpdate;
    /// Called when a prompt of this VM joins or leaves an endpoint's prompt queue.
    std::function<void(const wire::PromptSent &)> onPromptUpdate;
    /// Called when a request starts to wait for weights that no endpoint has loaded.
    std::function<void()> onDemandChanged;

    /// Logs a step of the start of this VM when it is reached for the first time.
    /// @param step name of the step
    void reachStartStep(std::string_view step);

    /// @return budget of retries of each service that had requests
    const std::unordered_map<ServiceName, RetryBudget> &retryBudgets() const;

    /// @return whether another VM is sending a large body, such as a configuration
    bool isReceivingFromVm() const;

private:
    friend class Relay;

    /// Who is at the other end of an accepted connection.
    enum class Sender {
        Caller,
        Vm, ///< has to show the token
    };

    void accept(Tcp::acceptor &listener, Sender sender);
    void addCaller(Tcp::socket socket, Sender sender);
    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpRequestHead head, std::string body);
    bool showsToken(const HttpRequestHead &head) const;
    void onForwardedRequest(const std::shared_ptr<CallerConnection> &caller, HttpRequestHead head, std::string body);
    void takeConfigRecord(CallerConnection &vm, const VmId &from, const std::string &record) const;
    void startRequest(const std::shared_ptr<CallerConnection> &caller, HttpRequestHead head, std::string body,
                      std::optional<wire::ForwardedRequest> forwarded);
    std::vector<ForwardingPeer> availablePeers(const ServiceName &service, std::span<const VmId> tried) const;
    void avoidPeer(const VmId &vm, bool outdated);
    void recordNotConnected(const ServiceName &service, const EndpointName &endpoint, bool timedOut);
    void recordBrokenOff(const ServiceName &service, const EndpointName &endpoint);
    std::vector<ReachWatch::Candidate> reachCandidates(const ServiceName &service) const;
    void onReachChanged(const ServiceName &service, bool unreachable);
    void resumeVerified(const ServiceName &service);
    void wakeWaiting();
    void scheduleWakeup(Duration delay);
    void endProvenRequests();
    void resumeCopies(RequestDigest digest);
    void announceEndpointStatus(const EndpointName &id, bool works);
    void recordEndpointFailure(const EndpointName &id, EndpointFailure failure, const std::string &request);
    void recordEndpointSuccess(const EndpointName &id);
    void recordEndpointCompletion(const EndpointName &id, int status);
    bool recordLeaving(const EndpointInstance &instance, const std::string &request);
    bool recordRest(const EndpointInstance &instance, double seconds, const std::string &request);
    void boundRequests(const ServiceName &service);
    double draw();
    SendHold checkSend(const EndpointInstance &instance, const std::optional<std::string> &softwareVersion,
                       const std::string &request);
    void recordLimit(const EndpointName &id, const AnswerInfo &answer, bool success, TimePoint sentAt);
    void announceLimit(const EndpointName &id, double perSecond, Duration age);
    void recordRejectionLimit(const ServiceName &service, const AnswerInfo &answer, bool success);
    void recordRejection(const EndpointName &id);
    void applyRejections(const wire::LimitNews &update);
    bool limitsRejections(const ServiceName &service) const;
    bool learnRejectionLimit(const ServiceName &service, double rate);
    void watchStalls();
    void checkStall();
    void recordStallOfLimits(Duration length);
    void recordSend(const EndpointName &id);
    void changeUnanswered(const EndpointInstance &instance,
                          const std::function<std::int32_t(UnansweredRequests &)> &change);
    void stateUnanswered(const EndpointName &id, std::int32_t sent);
    void takeTokensAgain(const EndpointName &id, std::int32_t requests);
    bool recordStatedLimit(EndpointLimit &limit, double perSecond, TimePoint at);
    void flushUnanswered();
    std::size_t countShunned(const ServiceName &service) const;
    void wakePaced(const EndpointName &id);
    TimePoint now() const;
    void recordDuration(const std::string &route, Duration duration);
    bool maySendWhileStopping(const ServiceRoute &route);
    RetryBudget &budgetOf(const ServiceName &service);
    void recordWritten(const EndpointInstance &instance, TimePoint sentAt, bool isRetry);
    void recordAnswer(const EndpointInstance &instance, const ServiceName &service, TimePoint sentAt);

    asio::io_context &context;
    RuntimeClock &clock;
    GatewaySettings settings;
    RequestFormat format;
    CoreSettings budgetSettings;
    Tcp::acceptor acceptor;
    Tcp::acceptor vmAcceptor; ///< for requests that other VMs forward
    std::string token; ///< that the other VMs have to present
    std::shared_ptr<const RouteConfig> configInForce;
    Fleet fleetState;
    std::unordered_map<ServiceName, RejectionLimit> rejectionLimits;
    TimePoint startedAt;
    StartProgress startProgress;
    TimePoint lastTick;
    std::optional<TimePoint> lateTick; ///< the last one that came late
    Duration lateTickGap {0}; ///< between that one and the one before
    StallDetector stallDetector;
    asio::steady_timer stallTimer;
    bool watchesStalls = false; ///< while a limit is in force
    TimePoint lastLimit; ///< when an endpoint last stated a limit
    AdapterVersions versionsNamed;
    EndpointPool pool;
    EndpointPool peerPool; ///< connections to other VMs
    ReachWatch reach;
    std::map<VmId, std::int32_t> forwardedTo; ///< requests in progress at other VMs
    std::map<VmId, TimePoint> avoidedUntil; ///< VMs that refused a request or could not be connected to
    CrashWatch crashes;
    asio::steady_timer capacityTimer; ///< until an endpoint at its rate limit accepts a request
    std::optional<TimePoint> capacityTimerDue;
    std::unordered_set<EndpointName> unansweredChanged; ///< endpoints with a limit, not stated yet
    asio::steady_timer unansweredTimer; ///< until these are stated
    std::unordered_map<ServiceName, RetryBudget> budgets;
    std::unordered_map<std::shared_ptr<CallerConnection>, std::weak_ptr<Relay>> callers; ///< with their latest request
    std::unordered_set<std::shared_ptr<Relay>> relays;
    std::map<EndpointName, std::map<std::string, std::int32_t>> inUse; ///< requests in progress by endpoint and weights
    GatewayCounters counts;
    std::unique_ptr<OrganisationMetrics> metricsByOrganisation;
    std::mt19937_64 random;
    std::unordered_map<std::string, RecentDurations> recentDurations; ///< by route
    TimePoint stopEnd; ///< end of the process, while it is stopping
    bool stopping = false;
    bool refusing = false;
    bool ending = false; ///< the process ends, and all connections with it
};

} // namespace lacewing
