// The data path of an entry VM: takes callers' requests, finds an endpoint for each and relays the answers.
//
//   Gateway gateway(context, clock, settings, format);
//   gateway.listen(address);
//   gateway.setConfig(config);          // whenever a newer one is known
//   gateway.changeFleet([](Fleet &fleet) { ... });  // whenever something is learned of endpoints
//
// All of it runs on the one thread of the event loop. Decisions are free functions in files of their own
// (endpointchoice, retrydecision, endpointtrust, adapterversions); this keeps their state and acts on them.

#pragma once

#include "netaddress.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "adapterversions.h"
#include "coresettings.h"
#include "crashwatch.h"
#include "endpointlink.h"
#include "fleet.h"
#include "lacewing_types.h"
#include "requestformat.h"
#include "resultcode.h"
#include "retrybudget.h"
#include "routeconfig.h"

namespace lacewing {

class CallerConnection;
class Relay;
class RuntimeClock;

struct GatewaySettings {
    ZoneName zone;
    double retryShare = 0.2; ///< repeats as a share of requests, of each VM
    double retryBurst = 1; ///< repeats of this VM that may be saved up for each service
    std::size_t mostConnections = 2000; ///< of callers
    Duration versionBound = milliseconds(5000); ///< a new version is in force this long after it was acknowledged
};

/// Counts since the start, for the metrics page.
struct GatewayCounters {
    std::int64_t requests = 0;
    std::int64_t answered = 0; ///< with an endpoint's own answer
    std::int64_t repeats = 0;
    std::int64_t callersGone = 0;
    std::int64_t brokenAnswers = 0; ///< that broke off after they had begun
    std::int64_t limitsIgnored = 0; ///< of endpoints, which could be none
    std::map<ResultCode, std::int64_t> ownAnswers;
};

class Gateway
{
public:
    /// @param ioContext event loop; outlives the gateway
    /// @param runtimeClock source of all times
    /// @param gatewaySettings who this VM is, and limits
    /// @param requestFormat how requests and answers are spelled
    Gateway(asio::io_context &ioContext, RuntimeClock &runtimeClock, GatewaySettings gatewaySettings,
            RequestFormat requestFormat);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Takes callers' connections.
    /// @param address numeric host:port
    /// @return what failed, if anything
    NetError listen(std::string_view address);

    /// @param next configuration; taken over if its version is higher than the one in force
    /// @return whether it is now in force
    bool setConfig(std::shared_ptr<const RouteConfig> next);

    /// Changes what is known of the endpoints, then looks again at the requests that wait.
    /// @param change is given the state
    void changeFleet(const std::function<void(Fleet &)> &change);

    /// @param weights MODEL/ADAPTER
    /// @param version named for it
    /// @param isNew whether it was named just now; otherwise it is not known how long it has stood
    void setVersion(std::string_view weights, std::int32_t version, bool isNew);

    /// @param share repeats as a share of requests
    /// @param burst repeats of this VM that may be saved up for each service
    void setRetryLimits(double share, double burst);
    /// @return repeats of this VM that may be saved up for each service
    double retryBurst() const;

    /// Drops connections to an endpoint that is gone or was started again, and forgets what runs there.
    /// @param id endpoint
    void dropEndpoint(const EndpointName &id);

    /// Tells callers from now on that their connections close; connections stay open.
    void beginStop();
    /// Answers new requests with a refusal from now on, and closes their connections.
    void refuseNew();
    /// Takes no connection any more, and ends each that there is once it is idle.
    /// @return connections that waited to be taken
    std::size_t closeListener();
    /// @return whether connections are taken
    bool listening() const;
    /// @return connections of callers
    std::size_t connections() const;
    /// @return requests in progress
    std::size_t openRequests() const;
    /// @return callers that have not got the end of their answer yet, as far as is known
    std::size_t deliveringCallers() const;
    /// @return bytes of answers not handed to the kernel yet
    std::size_t unwrittenBytes() const;
    /// Closes everything.
    void close();

    /// @return what this VM runs and waits for now
    wire::DemandReport demand() const;

    const std::shared_ptr<const RouteConfig> &config() const;
    const Fleet &fleet() const;
    const AdapterVersions &versions() const;
    const GatewayCounters &counters() const;
    /// @return what is known of requests that crash endpoints
    CrashWatch &crashWatch();
    const CrashWatch &crashWatch() const;

    /// A prompt of any VM joins the queue of an endpoint, or has been read there.
    void notePrompt(const wire::PromptSent &prompt);

    /// Takes in what a VM has experienced of an endpoint.
    /// @param vm that says so, this one included
    /// @param vmZone its zone
    /// @param news what it says
    /// @return whether the endpoint is shunned now and was not before, or the other way round
    bool noteEndpointNews(const VmId &vm, const ZoneName &vmZone, const wire::EndpointNews &news);

    /// Takes in what another VM says of an endpoint's limit.
    /// @param news what it says
    void noteLimitNews(const wire::LimitNews &news);

    /// Called with what others are to know of an endpoint's limit, and of requests sent to it.
    std::function<void(const wire::LimitNews &)> onLimitNews;
    /// Called with what this VM has experienced of an endpoint, if others are to know.
    std::function<void(const wire::EndpointNews &)> onEndpointNews;
    /// Called with each prompt of this VM that does so.
    std::function<void(const wire::PromptSent &)> onPrompt;
    /// Called when a request begins to wait for weights that no endpoint holds.
    std::function<void()> onWanted;

private:
    friend class Relay;

    void accept();
    void addCaller(Tcp::socket socket);
    void onRequest(const std::shared_ptr<CallerConnection> &caller, HttpRequestHead head, std::string body);
    void wakeWaiting();
    void wakeAfter(Duration delay);
    void endProven();
    void tellEndpointNews(const EndpointName &id, bool works);
    void noteEndpointFailure(const EndpointName &id, EndpointFailure failure, const std::string &request);
    void noteEndpointSuccess(const EndpointName &id);
    void noteLimit(const EndpointName &id, const AnswerInfo &answer, bool success);
    void tellLimit(const EndpointName &id, double perSecond);
    void noteSend(const EndpointName &id);
    std::size_t shunnedOf(const ServiceName &service) const;
    void wakePaced(const EndpointName &id);
    TimePoint now() const;
    RetryBudget &budgetOf(const ServiceName &service);

    asio::io_context &context;
    RuntimeClock &clock;
    GatewaySettings settings;
    RequestFormat format;
    CoreSettings budgetSettings;
    Tcp::acceptor acceptor;
    std::shared_ptr<const RouteConfig> configInForce;
    Fleet fleetState;
    AdapterVersions versionsNamed;
    EndpointPool pool;
    CrashWatch crashes;
    asio::steady_timer roomTimer; ///< until an endpoint at its limit takes a request
    std::optional<TimePoint> roomDue;
    std::unordered_map<ServiceName, RetryBudget> budgets;
    std::unordered_map<std::shared_ptr<CallerConnection>, std::weak_ptr<Relay>> callers; ///< with their last request
    std::unordered_set<std::shared_ptr<Relay>> relays;
    std::map<EndpointName, std::map<std::string, std::int32_t>> inUse; ///< requests by endpoint and weights
    GatewayCounters counts;
    std::mt19937_64 random;
    bool stopping = false;
    bool refusing = false;
};

} // namespace lacewing
