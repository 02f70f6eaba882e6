// Finds out which endpoints have ended under requests of this VM, and exchanges that with the other VMs.
//
//   CrashWatch watch(context, clock);
//   watch.noteBroken(run, digest, late);  // a connection broke while a request was in progress
//   watch.suspicionOf(digest);            // before a request is sent
//   watch.take(news);                     // of another VM
//
// A connection that breaks is no crash: links are cut, answers garbled, idle connections reset. A crash is shown by the
// endpoint's port, which refuses connections, by the next incarnation on the platform's list, or by another VM that
// has seen one of these. An endpoint that answers a request of before is alive, and its crash is taken back.

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "crashledger.h"
#include "lacewing_types.h"

namespace lacewing {

class RuntimeClock;
struct EndpointEntry;

/// The incarnation of an endpoint at which a request is in progress.
struct EndpointRun {
    EndpointName endpoint;
    std::int64_t born = 0; ///< start of the incarnation, Unix milliseconds
    ServiceName service;
    std::string address; ///< host:port
};

/// Counts since the start, for the metrics page.
struct CrashCounters {
    std::int64_t crashes = 0; ///< of endpoints, seen by any VM
    std::int64_t refuted = 0; ///< of these, taken back
    std::int64_t proven = 0; ///< requests that crash endpoints
    std::int64_t untold = 0; ///< digests left out of what is told, since too many crashed at once
};

class CrashWatch
{
public:
    /// @param ioContext event loop; outlives the watch
    /// @param runtimeClock source of all times
    CrashWatch(asio::io_context &ioContext, RuntimeClock &runtimeClock);

    /// A connection broke while a request was in progress.
    /// @param run where
    /// @param digest of the request
    /// @param late whether it had been answering for longer than crashOnset
    void noteBroken(const EndpointRun &run, RequestDigest digest, bool late);
    /// An endpoint answered a request whole.
    /// @param digest of the request
    void noteCompletion(RequestDigest digest);
    /// An endpoint began to answer a request.
    /// @param endpoint its id
    /// @param born start of its incarnation
    /// @param sentAt when the request was sent
    void noteAnswer(const EndpointName &endpoint, std::int64_t born, TimePoint sentAt);
    /// An entry of the platform's list was read.
    /// @param entry as listed
    void noteListed(const EndpointEntry &entry);
    /// A request was refused since it is proven.
    /// @param digest of the request
    void noteRefusal(RequestDigest digest);

    /// @param digest of a request
    /// @return what is held against it
    Suspicion suspicionOf(RequestDigest digest) const;

    /// @param news of another VM
    void take(const wire::CrashNews &news);
    /// @return what is told again and again, so that VMs that missed it, or have started since, come to know;
    /// empty if there is nothing to tell
    wire::CrashNews repeatedNews();

    CrashCounters counts;

    /// Called with what the other VMs are to know.
    std::function<void(const wire::CrashNews &)> onNews;
    /// Called when requests are found to crash endpoints.
    std::function<void()> onProven;

private:
    /// Requests that broke at an incarnation of which it is not known yet whether it ended.
    struct Broken {
        EndpointRun run;
        InProgress requests;
        TimePoint since;
        bool probing = false;
    };

    void probe(CrashKey key);
    void onProbed(CrashKey key, const NetError &error);
    void confirm(CrashKey key, std::string_view evidence);
    void tell(const EndpointRun &run, const InProgress &requests);
    void publish(const wire::CrashNews &news) const;
    void queueReport(const EndpointRun &run, const std::vector<RequestDigest> &digests, bool late);
    void flush();
    void flushCompletions();
    void reviewSoon();
    void review();
    void refute(CrashKey key);
    void forgetOld();

    asio::io_context &context;
    RuntimeClock &clock;
    CrashLedger ledger;
    std::map<CrashKey, Broken> broken;
    std::vector<wire::CrashReport> untold; ///< of this VM's own requests
    std::size_t untoldDigests = 0;
    std::vector<std::int64_t> untoldCompletions; ///< digests of requests
    asio::steady_timer flushTimer;
    asio::steady_timer completionTimer;
    asio::steady_timer reviewTimer;
    bool flushPending = false;
    bool reviewPending = false;
    std::uint64_t turn = 0; ///< of what is told again
};

} // namespace lacewing
