// Few requests wait for weights (a load takes a quarter of a second), so the placement of all of them is retried
// whenever the state of an endpoint changes.

#include "gateway.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <utility>

#include "callerconnection.h"
#include "clock.h"
#include "configcatchup.h"
#include "eventlog.h"
#include "handlerguard.h"
#include "organisationmetrics.h"
#include "relay.h"

namespace lacewing {

Gateway::Gateway(asio::io_context &ioContext, RuntimeClock &runtimeClock, GatewaySettings gatewaySettings,
                 RequestFormat requestFormat)
    : context(ioContext),
      clock(runtimeClock),
      settings(std::move(gatewaySettings)),
      format(requestFormat),
      acceptor(ioContext),
      vmAcceptor(ioContext),
      startedAt(runtimeClock.now()),
      startProgress(this->startedAt),
      lastTick(this->startedAt),
      stallTimer(ioContext),
      pool(ioContext),
      peerPool(ioContext),
      reach(ioContext, runtimeClock, [this](const ServiceName &service) { return this->reachCandidates(service); }),
      crashes(ioContext, runtimeClock),
      capacityTimer(ioContext),
      unansweredTimer(ioContext),
      metricsByOrganisation(std::make_unique<OrganisationMetrics>()),
      random(std::random_device {}())
{
    this->crashes.onProven = [this] { this->endProvenRequests(); };
    this->crashes.onCleared = [this](RequestDigest digest) { this->resumeCopies(digest); };
    this->reach.onChanged
        = [this](const ServiceName &service, bool unreachable) { this->onReachChanged(service, unreachable); };
    this->reach.onVerified = [this](const ServiceName &service) { this->resumeVerified(service); };
    this->budgetSettings.retryAtStart = this->settings.retryAtStart;
    this->setRetryLimits(this->settings.retryShare, this->settings.retryBurst, 0);
}

Gateway::~Gateway() = default;

NetError Gateway::listen(std::string_view address)
{
    const NetError error = listenOn(this->acceptor, address);
    if (!error) {
        this->accept(this->acceptor, Sender::Caller);
    }
    return error;
}

void Gateway::accept(Tcp::acceptor &listener, Sender sender)
{
    listener.async_accept([this, &listener, sender](const NetError &error, Tcp::socket socket) {
        if (!error) {
            this->addCaller(std::move(socket), sender);
        }
        if (listener.is_open()) {
            this->accept(listener, sender);
        }
    });
}

void Gateway::addCaller(Tcp::socket socket, Sender sender)
{
    if (this->callers.size() >= this->settings.maxConnections) {
        return;
    }
    CallerLimits limits = this->configInForce ? this->configInForce->limits : CallerLimits {};
    if (sender == Sender::Vm) {
        limits.headBytes += maxForwardingHeaderBytes;
        limits.bodyBytes = std::max(limits.bodyBytes, maxConfigRecordBytes);
    }
    const auto caller = std::make_shared<CallerConnection>(std::move(socket), limits);
    caller->closing = this->stopping;
    caller->fromVm = sender == Sender::Vm;
    this->callers[caller] = {};
    const std::weak_ptr<CallerConnection> weak = caller;
    CallerConnection::Handlers handlers;
    handlers.onRequest = [this, weak, sender](HttpRequestHead head, std::string body) {
        const auto from = weak.lock();
        if (from && sender == Sender::Vm) {
            this->onForwardedRequest(from, std::move(head), std::move(body));
        } else if (from) {
            this->onRequest(from, std::move(head), std::move(body));
        }
    };
    if (sender == Sender::Vm) { // whose bodies may be larger than those of callers
        handlers.mayReadBody = [this](const HttpRequestHead &head) { return this->showsToken(head); };
    }
    handlers.onMalformedRequest = [weak](int status) {
        if (const auto from = weak.lock()) {
            logEvent("request_unreadable", {{"status", std::to_string(status)}});
            HttpResponseHead answer;
            answer.status = status;
            answer.reason = "unreadable request";
            answer.length = 0;
            from->beginAnswer(answer, BodyFraming::Length, false);
            from->finishAnswer();
        }
    };
    handlers.onDiscardedRequest = [this](const HttpRequestHead &head, Duration sinceClose) {
        this->counts.discarded += 1;
        logEvent("request_discarded",
                 {{"id", this->format.readRequest(head).id},
                  {"stopping", this->stopping ? "yes" : "no"},
                  {"since_close_ms", inMilliseconds(sinceClose)}});
    };
    handlers.onClosed = [this, weak] {
        const auto from = weak.lock();
        if (!from) {
            return;
        }
        if (const auto open = this->callers[from].lock()) {
            open->cancel(this->ending ? CancelCause::ProcessEnds : CancelCause::CallerLeft);
        }
        this->callers.erase(from);
    };
    caller->start(std::move(handlers));
    if (!this->listening()) {
        caller->closeWhenIdle();
    }
}

void Gateway::onRequest(const std::shared_ptr<CallerConnection> &caller, HttpRequestHead head, std::string body)
{
    this->counts.requests += 1;
    this->startRequest(caller, std::move(head), std::move(body), std::nullopt);
}

void Gateway::startRequest(const std::shared_ptr<CallerConnection> &caller, HttpRequestHead head, std::string body,
                           std::optional<wire::ForwardedRequest> forwarded)
{
    const bool started = runGuarded("request", [&] {
        const auto relay
            = std::make_shared<Relay>(*this, caller, std::move(head), std::move(body), std::move(forwarded));
        this->callers[caller] = relay;
        this->relays.insert(relay);
        relay->start();
    });
    if (!started) {
        caller->abort();
    }
}

bool Gateway::setConfig(std::shared_ptr<const RouteConfig> next, std::string_view source)
{
    if (this->configInForce && next->version <= this->configInForce->version) {
        return false;
    }
    this->configInForce = std::move(next);
    this->reachStartStep("config");
    logEvent("config_in_force",
             {{"version", std::to_string(this->configInForce->version)},
              {"source", std::string(source)},
              {"routes", std::to_string(this->configInForce->routes.size())}});
    return true;
}

void Gateway::reachStartStep(std::string_view step)
{
    this->startProgress.reach(step, this->now());
}

void Gateway::changeFleet(const std::function<void(Fleet &)> &change)
{
    change(this->fleetState);
    this->wakeWaiting();
}

void Gateway::setVersion(std::string_view weights, std::int32_t version, bool isNew)
{
    if (recordVersion(this->versionsNamed, weights, version, isNew ? this->now() : TimePoint {})) {
        logEvent("version_named", {{"weights", std::string(weights)}, {"version", std::to_string(version)}});
    }
}

void Gateway::wakePaced(const EndpointName &id)
{
    std::vector<std::shared_ptr<Relay>> paced;
    for (const auto &relay : this->relays) {
        if (relay->pacedEndpoint() == id) {
            paced.push_back(relay);
        }
    }
    for (const auto &relay : paced) {
        relay->recheckPacing();
    }
}

void Gateway::wakeWaiting()
{
    std::vector<std::shared_ptr<Relay>> waiting;
    for (const auto &relay : this->relays) {
        if (!relay->waitingFor().empty()) {
            waiting.push_back(relay);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto &one, const auto &other) { return one->before(*other); });
    for (const auto &relay : waiting) {
        relay->retryPlacement();
    }
}

void Gateway::endProvenRequests()
{
    const std::vector<std::shared_ptr<Relay>> open(this->relays.begin(), this->relays.end());
    for (const auto &relay : open) {
        relay->endIfProvenToCrash();
    }
}

void Gateway::resumeCopies(RequestDigest digest)
{
    const std::vector<std::shared_ptr<Relay>> open(this->relays.begin(), this->relays.end());
    for (const auto &relay : open) {
        relay->endCopyWait(digest);
    }
}

void Gateway::setRevocationBound(std::optional<Duration> bound)
{
    this->settings.revocationBound = bound;
}

void Gateway::dropEndpoint(const EndpointName &id)
{
    this->pool.drop(id);
    this->inUse.erase(id); // requests still in progress at the endpoint end on their own
}

std::size_t Gateway::closeListener()
{
    std::vector<Tcp::socket> backlog = lacewing::closeListener(this->acceptor);
    for (Tcp::socket &socket : backlog) {
        this->addCaller(std::move(socket), Sender::Caller);
    }
    std::vector<Tcp::socket> vmBacklog = lacewing::closeListener(this->vmAcceptor);
    for (Tcp::socket &socket : vmBacklog) {
        this->addCaller(std::move(socket), Sender::Vm);
    }
    for (const auto &[caller, request] : this->callers) {
        caller->closeWhenIdle();
    }
    return backlog.size();
}

bool Gateway::listening() const
{
    return this->acceptor.is_open();
}

std::size_t Gateway::connections() const
{
    return this->callers.size();
}

std::size_t Gateway::openRequests() const
{
    return this->relays.size();
}

std::size_t Gateway::deliveringCallers() const
{
    const auto isDelivering = [](const auto &entry) { return entry.first->isDelivering(); };
    return static_cast<std::size_t>(std::count_if(this->callers.begin(), this->callers.end(), isDelivering));
}

std::size_t Gateway::unwrittenBytes() const
{
    const auto add = [](std::size_t sum, const auto &entry) { return sum + entry.first->pendingOutput(); };
    return std::accumulate(this->callers.begin(), this->callers.end(), std::size_t {0}, add);
}

void Gateway::close()
{
    this->ending = true;
    NetError ignored; // the process ends
    this->acceptor.close(ignored);
    this->vmAcceptor.close(ignored);
    const auto all = this->callers; // copied, as each aborted connection removes itself from the map
    for (const auto &[caller, request] : all) {
        caller->abort();
    }
}

wire::DemandReport Gateway::demand() const
{
    wire::DemandReport report;
    for (const auto &[endpoint, uses] : this->inUse) {
        wire::EndpointUse use;
        use.endpoint = endpoint;
        for (const auto &[weights, running] : uses) {
            use.running += running;
            use.names.push_back(weights);
            use.counts.push_back(running);
        }
        report.uses.push_back(std::move(use));
    }
    std::map<std::string, wire::WantedWeights> wanted;
    for (const auto &relay : this->relays) {
        const std::string &weights = relay->waitingFor();
        if (!weights.empty()) {
            wire::WantedWeights &one = wanted[weights];
            one.name = weights;
            one.rank = one.waiting == 0 ? relay->rank() : std::min(one.rank, relay->rank());
            one.waiting += 1;
            const auto age = static_cast<std::int32_t>(toMilliseconds(relay->age()));
            one.oldestMilliseconds = std::max(one.oldestMilliseconds, age);
        }
    }
    for (auto &[name, one] : wanted) {
        report.wanted.push_back(std::move(one));
    }
    return report;
}

const std::shared_ptr<const RouteConfig> &Gateway::config() const
{
    return this->configInForce;
}

const Fleet &Gateway::fleet() const
{
    return this->fleetState;
}

const AdapterVersions &Gateway::versions() const
{
    return this->versionsNamed;
}

const GatewayCounters &Gateway::counters() const
{
    return this->counts;
}

OrganisationMetrics &Gateway::organisationMetrics()
{
    return *this->metricsByOrganisation;
}

const OrganisationMetrics &Gateway::organisationMetrics() const
{
    return *this->metricsByOrganisation;
}

ReachWatch &Gateway::reachWatch()
{
    return this->reach;
}

const ReachWatch &Gateway::reachWatch() const
{
    return this->reach;
}

CrashWatch &Gateway::crashWatch()
{
    return this->crashes;
}

const CrashWatch &Gateway::crashWatch() const
{
    return this->crashes;
}

TimePoint Gateway::now() const
{
    return this->clock.now();
}

} // namespace lacewing
