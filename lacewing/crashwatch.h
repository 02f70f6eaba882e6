// Detects endpoints that crash while requests of this VM are in progress, and exchanges the crashes with other VMs.
// Keeps a ledger of the requests and one of the parts of their prompts.
//
//   CrashWatch watch(context, clock);
//   watch.recordBrokenConnection(incarnation, content, answeredFor, replaced);  // it broke under a request
//   watch.suspicionOf(content);                   // before a request is sent
//   watch.take(update);                           // from another VM
//
// A broken connection alone is no evidence of a crash: the network may be partitioned, an answer malformed or an idle
// connection reset. Evidence is a refused connection to the endpoint's port, a newer process in the platform's list, or
// a report of another VM. A connection that is accepted shows that something listens there: the process, the next one,
// or a parent that holds the port. An answer shows that the process lives if it came on a connection from before the
// crash to a request from after it: only then is it certain which process wrote it, and when.

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "crashledger.h"
#include "lacewing_types.h"
#include "requestcontent.h"

namespace lacewing {

class RuntimeClock;
struct EndpointEntry;

/// The incarnation of an endpoint to which a request was sent.
struct EndpointIncarnation {
    EndpointName endpoint;
    std::int64_t born = 0; ///< start of the incarnation, Unix milliseconds
    ServiceName service;
    std::string address; ///< host:port
};

/// Counts since the start, for the metrics page.
struct CrashCounters {
    std::int64_t crashes = 0; ///< of endpoints, seen by any VM
    std::int64_t refuted = 0; ///< of these crashes
    std::int64_t proven = 0; ///< requests that crash endpoints
    std::int64_t proofsEnded = 0; ///< of requests whose next copy is a trial
    std::int64_t proofsCleared = 0; ///< of requests that an endpoint has answered completely all the same
    std::int64_t partsProven = 0; ///< parts of prompts that crash endpoints
    std::int64_t untold = 0; ///< digests omitted from updates because too many were pending
};

class CrashWatch
{
public:
    /// @param ioContext event loop; outlives the watch
    /// @param runtimeClock source of all times
    CrashWatch(asio::io_context &ioContext, RuntimeClock &runtimeClock);

    /// Records a connection that broke while a request was in progress.
    /// @param incarnation to which the request was sent
    /// @param content of the request
    /// @param sentAt when the request was sent
    /// @param answeredFor time since the first bytes of the answer; nothing: there were none
    /// @param replaced whether the platform's list already shows a newer process in its place
    void recordBrokenConnection(const EndpointIncarnation &incarnation, const RequestContent &content, TimePoint sentAt,
                                std::optional<Duration> answeredFor, bool replaced);
    /// Records that an endpoint answered a request completely.
    /// @param content of the request
    void recordCompletion(const RequestContent &content);
    /// Records that an endpoint started to answer a request.
    /// @param endpoint its id
    /// @param born start of its incarnation
    /// @param connectedAt when the connection was established on which the answer came
    /// @param sentAt when the request was sent
    void recordAnswer(const EndpointName &endpoint, std::int64_t born, TimePoint connectedAt, TimePoint sentAt);
    /// Records an entry of the platform's list, which may show a newer incarnation.
    /// @param entry as listed
    void recordListedEntry(const EndpointEntry &entry);
    /// @param content of a request
    /// @return whether the request or a part of its prompt is suspected or proven to crash endpoints
    Suspicion suspicionOf(const RequestContent &content) const;
    /// @param digest of a request
    /// @return whether the request itself is suspected, apart from the parts of its prompt
    bool isSuspectedRequest(RequestDigest digest) const;
    /// @param content of a request
    /// @return whether a part of its prompt is proven to crash endpoints
    bool hasProvenPart(const RequestContent &content) const;

    /// @param update of another VM
    void take(const wire::CrashNews &update);
    /// @return suspects to repeat to other VMs, for those that missed earlier updates or have started since; empty if
    /// there are none
    wire::CrashNews periodicUpdate();

    CrashCounters counts;

    /// Called with each update for the other VMs.
    std::function<void(const wire::CrashNews &)> onUpdate;
    /// Called when requests or parts are newly proven to crash endpoints.
    std::function<void()> onProven;
    /// Called after a complete answer has cleared a request that was suspected or proven.
    std::function<void(RequestDigest)> onCleared;

private:
    /// What the digests of a report belong to.
    enum class DigestKind {
        Requests,
        LateRequests,
        Parts,
        LateParts,
    };

    /// An incarnation with broken requests that may have crashed.
    struct UnconfirmedCrash {
        EndpointIncarnation incarnation;
        ContentInProgress inProgress; ///< ages are those at the time of the latest break
        TimePoint first; ///< when the first connection broke
        TimePoint latest; ///< when the latest connection broke
        int probes = 0;
        bool probing = false;
    };

    struct Probe;

    void probe(CrashKey key, Duration delay);
    void connectProbe(const std::shared_ptr<Probe> &probe);
    void watchProbe(const std::shared_ptr<Probe> &probe);
    void endProbe(const std::shared_ptr<Probe> &probe, std::string_view result);
    void confirm(CrashKey key, std::string_view evidence);
    void reportCrash(const EndpointIncarnation &incarnation, const ContentInProgress &inProgress);
    void broadcast(const wire::CrashNews &update) const;
    void queueReports(const EndpointIncarnation &incarnation, const ContentInProgress &inProgress);
    void queueReport(const EndpointIncarnation &incarnation, const std::vector<RequestDigest> &digests, DigestKind kind,
                     const std::unordered_map<RequestDigest, Duration> &ages);
    void queueCompletion(std::vector<std::int64_t> &queue, RequestDigest digest);
    void flushReports();
    void flushCompletions();
    void scheduleReview();
    void review();
    void endProofs();
    void logProof(RequestDigest digest) const;
    bool clearRequest(RequestDigest digest);
    void refute(CrashKey key);
    void removeExpired();

    asio::io_context &context;
    RuntimeClock &clock;
    CrashLedger ledger; ///< of requests
    CrashLedger parts; ///< of parts of prompts
    std::map<CrashKey, UnconfirmedCrash> unconfirmed;
    std::vector<wire::CrashReport> unsentReports; ///< of this VM's own requests
    std::size_t unsentDigests = 0;
    std::vector<std::int64_t> unsentCompletions; ///< digests of requests
    std::vector<std::int64_t> unsentPartCompletions; ///< digests of parts
    asio::steady_timer flushTimer;
    asio::steady_timer completionTimer;
    asio::steady_timer reviewTimer;
    bool flushPending = false;
    bool reviewPending = false;
    std::uint64_t round = 0; ///< of periodic updates
};

} // namespace lacewing
