// Events: everything the decisions react to. An event and a time go into step() (step.h), actions
// (action.h) come out. The alternatives of one variant share this header so that the whole input of
// the core can be read in one place.
//
// "Entry side" events concern requests that callers sent to this VM. "Owner side" events concern
// endpoints that this VM owns. One VM is both, often for the same request.

#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "resultcode.h"
#include "types.h"

namespace lacewing {

// ---------------------------------------------------------------- entry side

/// How a request that may not be repeated is recognised when a caller sends it again.
enum class KeyKind {
    None, ///< no idempotency key
    Minted, ///< minted by a VM, executed only by that VM
    CallerChosen, ///< chosen by the caller, claimed on the log
};

/// A caller's request was read and authenticated; its version is fixed from here on.
struct RequestArrived {
    RequestId request;
    MemberName member;
    AdapterVersion target; ///< adapter empty for a plain service
    ServiceName service; ///< empty for a model request
    RequestClass requestClass = RequestClass::Urgent;
    bool repeatable = true;
    KeyKind keyKind = KeyKind::None;
    std::string key; ///< as sent by the caller
    TimePoint deadline;
    std::int32_t promptTokens = 0;
    std::int32_t maxTokens = 0;
    std::int64_t prefixHash = 0; ///< hash of the leading part of the prompt; 0: none
};

/// The caller went away; nobody waits for the answer any more.
struct RequestAbandoned {
    RequestId request;
};

/// A caller asked for a minted idempotency key.
struct KeyRequested {
    std::int64_t token = 0; ///< echoed in KeyMinted
    MemberName member;
};

/// The owner took the offer into its queue. A refusal comes as AttemptEnded with NotRun.
struct OfferAccepted {
    AttemptId attempt;
};

/// Tokens or bytes of an attempt passed through this VM towards the caller.
struct AttemptProgressed {
    AttemptId attempt;
    std::int64_t position = 0; ///< next position expected
};

/// An attempt ended, as seen by the VM that offered it.
struct AttemptEnded {
    AttemptId attempt;
    wire::AttemptResult result;
};

// ---------------------------------------------------------------- owner side

/// Another VM, or this one, offers a request for an endpoint owned here.
struct OfferArrived {
    VmId from;
    wire::RequestOffer offer;
};

/// The VM that offered the attempt no longer wants it.
struct OfferCancelled {
    VmId from;
    AttemptId attempt;
};

/// The endpoint finished, refused or broke an attempt started by StartAttempt.
struct RunEnded {
    EndpointName endpoint;
    AttemptId attempt;
    wire::AttemptResult result;
};

/// Periodic load report of an endpoint; it lags.
struct EndpointReported {
    EndpointName endpoint;
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    std::vector<AdapterVersion> resident;
    std::string incarnation; ///< changes when the endpoint restarted
};

/// A health probe or a connection attempt ended.
struct EndpointProbed {
    EndpointName endpoint;
    bool healthy = false;
    bool leaving = false; ///< the endpoint says itself that it is leaving
};

/// A prompt prefix entered or left an endpoint's cache; a hint that may be late or missing.
struct CacheReported {
    EndpointName endpoint;
    std::int64_t prefixHash = 0;
    bool stored = true;
};

enum class OrderKind {
    Load,
    Unload,
};

/// An order to load or unload an adapter ended.
struct OrderEnded {
    EndpointName endpoint;
    AdapterVersion adapter;
    OrderKind kind = OrderKind::Load;
    ResultCode code = ResultCode::Ok; ///< Ok, LoadFailed, StaleFencing, EndpointUnhealthy
    Duration retryAfter {0}; ///< asked for by the endpoint or store; 0: none
};

// ---------------------------------------------------------------- platform and peers

/// Records were read from the log, in offset order, starting at firstOffset. No offset between two of them
/// is left out: a record that could not be decoded comes as one without a body. Answers ReadLog.
struct RecordsRead {
    LogOffset firstOffset = 0;
    LogOffset oldestKept = 0; ///< retention has dropped all before
    LogOffset end = 0; ///< offset the next append will get, as far as known
    std::vector<wire::StoredRecord> records;
};

/// Reading the log failed or timed out.
struct LogReadFailed {
};

/// An append ended. Unknown: its answer was lost, it may or may not be stored.
struct AppendEnded {
    enum class Result {
        Stored,
        Refused,
        Unknown,
    };
    std::string nonce;
    Result result = Result::Unknown;
    LogOffset offset = noOffset;
};

struct VmListEntry {
    VmId vm; ///< an entry VM, or the name of an endpoint
    ZoneName zone;
    std::string address; ///< host:port for peers; empty for endpoints
    bool leaving = false;
};

/// The platform's VM list was read. It lags and may arrive out of order: stamp orders it.
struct VmListRead {
    std::int64_t stamp = 0;
    std::vector<VmListEntry> entries;
};

/// The VM list could not be read.
struct VmListFailed {
};

/// A control message of another VM arrived.
struct PeerMessageArrived {
    VmId from;
    wire::ControlMessage message;
};

/// The connection to another VM broke or could not be made.
struct PeerDisconnected {
    VmId vm;
};

// ---------------------------------------------------------------- operators and time

/// An operator submits a change of configuration.
struct ChangeSubmitted {
    std::int64_t token = 0; ///< echoed in AnswerOperator
    wire::ConfigRecord change;
};

/// Time passed; sent at least every tickInterval.
struct Tick {
};

/// A planned stop was asked for.
struct StopRequested {
};

using Event = std::variant<RequestArrived, RequestAbandoned, KeyRequested, OfferAccepted, AttemptProgressed,
                           AttemptEnded, OfferArrived, OfferCancelled, RunEnded, EndpointReported, EndpointProbed,
                           CacheReported, OrderEnded, RecordsRead, LogReadFailed, AppendEnded, VmListRead, VmListFailed,
                           PeerMessageArrived, PeerDisconnected, ChangeSubmitted, Tick, StopRequested>;

/// Longest time between two Tick events.
constexpr Duration tickInterval = milliseconds(20);

} // namespace lacewing
