/**
 * Messages between lacewingd processes and records on the platform's log.
 *
 * The generated C++ is committed in lacewing/generated/; scripts/generate rebuilds it.
 * Fields are only ever added, as optional ones with new numbers. A reader that does not
 * know a field skips it; a reader that knows no body in a LogRecord counts it as skipped.
 */
namespace cpp lacewing.wire

enum RequestClass { Urgent = 1, Patient = 2 }

/** Identifies one caller request: the accepting VM's incarnation and a counter in it. */
struct RequestId { 1: i64 node, 2: i64 number }

/** One try of a request on one endpoint. */
struct AttemptId { 1: RequestId request, 2: i32 number }

struct AdapterVersion { 1: string adapter, 2: i32 version }

// ---------------------------------------------------------------- configuration

struct MemberSpec { 1: string name, 2: string keyHash, 3: i32 maxInFlight = 0 }
struct AdapterSpec { 1: string name, 2: string member, 3: string baseModel }
struct VersionSpec { 1: string adapter, 2: i32 version, 3: string source }
/** Assigns a version of an adapter as the one in force for its member's deployment; 0: none. */
struct AssignmentSpec { 1: string adapter, 2: i32 version }

struct EndpointSpec {
  1: string name,
  2: string zone,
  3: string address,           // host:port
  4: string baseModel,         // empty for a plain service
  5: string serviceName,           // name of the plain service, empty for an engine
  6: string member,            // member that may reach the service; empty: all
  7: bool checksFencing = false,
  8: i32 adapterSlots = 4,
  9: i32 maxRunning = 8,
  10: bool draining = false
}

/** Weights and limits of one operating mode. Exactly one preset is in force. */
struct PresetSpec {
  1: string name,
  2: double urgentReserve = 0.25,   // share of an endpoint's places only urgent work may take
  3: i32 gatherMilliseconds = 200,  // bound on how long patient work waits to gather per adapter
  4: double loadsPerSecond = 3.0,
  5: double stallWeight = 1.0,
  6: double batchWeight = 1.0,
  7: bool acceptPatient = true
}

/** Exactly one field is set. Fields 11 to 14 undo others, for rollbacks. */
struct ConfigChange {
  1: optional MemberSpec memberAdd,
  2: optional AdapterSpec adapterCreate,
  3: optional string adapterDelete,
  4: optional VersionSpec versionAdd,
  5: optional VersionSpec versionRetire,
  6: optional AssignmentSpec assign,
  7: optional EndpointSpec endpointAdd,
  8: optional string endpointDrain,
  9: optional PresetSpec presetDefine,
  10: optional string presetUse,
  11: optional string memberRemove,
  12: optional string endpointRemove,
  13: optional VersionSpec versionRestore,
  14: optional string presetRemove
}

/** Accepted only if basedOn is the revision in force when it is replayed. */
struct ConfigRecord {
  1: i64 basedOn,
  2: list<ConfigChange> changes,
  3: string author,
  4: string note
}

// ---------------------------------------------------------------- log records

/** Holds only if supersedes is the offset of the current claim (-1: none so far). */
struct ClaimRecord { 1: string resource, 2: string vm, 3: i64 incarnation, 4: i64 supersedes = -1 }

/** Frees a resource whose current claim has this offset. */
struct ReleaseRecord { 1: string resource, 2: i64 claim }

struct KeyClaim { 1: string keyHash, 2: RequestId request }
/** Grouped claims of caller-chosen idempotency keys; the first in log order runs. */
struct KeyClaimsRecord {
  1: string vm,
  2: i64 incarnation,
  3: list<KeyClaim> claims,
  4: list<KeyClaim> released           // held by a request that was proved not to have run
}

struct ClaimState { 1: string resource, 2: string vm, 3: i64 incarnation, 4: i64 offset, 5: bool released = false }

struct ConfigSnapshot {
  1: i64 revision,
  2: list<MemberSpec> members,
  3: list<AdapterSpec> adapters,
  4: list<VersionSpec> versions,
  5: list<AssignmentSpec> assignments,
  6: list<EndpointSpec> endpoints,
  7: list<PresetSpec> presets,
  8: string presetInForce,
  9: list<VersionSpec> retired,        // those of field 4 that are retired
  10: list<VersionSpec> deleted        // versions of deleted adapters: never to be given another source
}

/** One accepted change, kept so that operators can look back and roll back. */
struct RevisionEntry {
  1: i64 revision,
  2: i64 offset,
  3: string nonce,
  4: string author,
  5: string note,
  6: list<ConfigChange> changes,
  7: list<ConfigChange> inverse        // undoes the changes, in this order
}

/**
 * The state after all records with offsets below throughOffset; outlives the log's retention. Each
 * part holds a share of each list; revision and presetInForce stand in all of them.
 */
struct CheckpointRecord {
  1: i64 throughOffset,
  2: ConfigSnapshot config,
  3: list<ClaimState> claims,
  4: i32 part = 0,
  5: i32 parts = 1,
  6: list<RevisionEntry> history
}

/** Exactly one of the optional bodies is set in records of a known format. */
struct LogRecord {
  1: i32 format = 1,
  2: string nonce,
  3: string writer,
  4: optional ConfigRecord config,
  5: optional ClaimRecord claim,
  6: optional ReleaseRecord release,
  7: optional KeyClaimsRecord keys,
  8: optional CheckpointRecord checkpoint
}

struct StoredRecord { 1: i64 offset, 2: LogRecord record }

// ---------------------------------------------------------------- control messages

struct ResidencyDelta {
  1: string endpoint,
  2: i64 epoch,                       // fencing number of the owner that reports
  3: i64 sequence,
  4: bool full = false,               // replaces all that was known of the endpoint
  5: list<AdapterVersion> added,
  6: list<AdapterVersion> removed,
  7: i32 queued = 0,
  8: i32 running = 0,
  9: bool healthy = true,
  10: i32 urgentQueued = 0,           // part of queued
  11: i32 patientRunning = 0,         // part of running
  12: i32 freeSlots = 0               // adapter slots that a load could take now
}

/** A VM that should have sent heartbeats to the VM named in by, and did not. */
struct Suspicion { 1: string vm, 2: string by, 3: i64 sequence, 4: bool heard = false }

struct Heartbeat {
  1: string vm, 2: i64 incarnation, 3: string zone, 4: i64 sequence,
  5: i64 appliedOffset, 6: i64 configRevision,
  7: bool leaving = false,
  8: list<ResidencyDelta> residency,
  9: list<string> reachable,           // peers this VM heard lately, for indirect evidence
  10: list<Suspicion> suspicions,      // news only: each is passed on once
  11: i64 logAgeMilliseconds = -1      // since the platform last told someone of the zone the log's end; -1: never
}

struct GrantRequest { 1: string endpoint, 2: AdapterVersion adapter, 3: double worth, 4: i64 number, 5: i32 urgentWaiting = 0 }
struct GrantReply { 1: string endpoint, 2: AdapterVersion adapter, 3: i64 number, 4: bool granted, 5: i64 validMilliseconds }
struct GrantDone { 1: string endpoint, 2: AdapterVersion adapter, 3: i64 number, 4: bool loaded }

enum KeyVerdict {
  KeyGranted = 1, KeyInProgress = 2, KeyAnswered = 3, KeyFailed = 4, KeyUnknown = 5, KeyNotRun = 6, KeyExpired = 7, KeyFull = 8
}
/** Asks a minted key's home VM for the right to run, or (claim false) any VM how a request with a key ended. */
struct KeyAsk { 1: string key, 2: RequestId request, 3: i64 incarnation, 4: bool claim }
struct KeyAnswer { 1: string key, 2: RequestId request, 3: KeyVerdict verdict }

struct RecordsRequest { 1: i64 fromOffset, 2: i32 most }
struct RecordsReply { 1: i64 endOffset, 2: list<StoredRecord> records }

/** Exactly one field is set. */
struct ControlMessage {
  1: optional Heartbeat heartbeat,
  2: optional GrantRequest grantRequest,
  3: optional GrantReply grantReply,
  4: optional GrantDone grantDone,
  5: optional RecordsRequest recordsRequest,
  6: optional RecordsReply recordsReply,
  20: optional KeyAsk keyAsk,
  21: optional KeyAnswer keyAnswer
}

// ---------------------------------------------------------------- requests between VMs

/** What the owner of an endpoint must know of a request to queue and run it. */
struct RequestOffer {
  1: AttemptId attempt,
  2: string endpoint,
  3: i64 fencing,                      // claim the entry VM believes in; 0: unknown
  4: string member,
  5: AdapterVersion adapter,           // adapter empty: plain service
  6: string serviceName,
  7: RequestClass requestClass,
  8: bool repeatable = true,
  9: i64 remainingMilliseconds,        // until the deadline
  10: i64 waitedMilliseconds = 0,      // since the request was accepted
  11: i64 resumePosition = 0,
  12: i32 promptTokens = 0,
  13: i32 maxTokens = 0,
  14: i64 prefixHash = 0
}

enum AttemptOutcome { Completed = 1, NotRun = 2, Unknown = 3, Broken = 4, Failed = 5 }

/** How an attempt ended. NotRun is a proof that nothing of it ran. */
struct AttemptResult {
  1: AttemptOutcome outcome,
  2: i32 code = 0,
  3: i64 position = 0,
  4: i64 retryAfterMilliseconds = 0,
  5: string tryEndpoint,
  6: i64 queueMicroseconds = 0,
  7: i64 stallMicroseconds = 0
}

struct HttpHead { 1: string method, 2: string target, 3: i32 status = 0, 4: map<string, string> headers }

struct OfferFrame { 1: RequestOffer offer, 2: HttpHead head, 3: string body }
struct DataFrame { 1: AttemptId attempt, 2: i64 position, 3: string bytes, 4: optional HttpHead head }
struct EndFrame { 1: AttemptId attempt, 2: AttemptResult result }
struct CancelFrame { 1: AttemptId attempt }
struct CreditFrame { 1: AttemptId attempt, 2: i32 bytes }
/** The owner queued the offer. */
struct AcceptFrame { 1: AttemptId attempt }
struct HelloFrame { 1: string vm, 2: i64 incarnation, 3: string token, 4: i32 format = 1 }

/** Exactly one field is set. */
struct PeerFrame {
  1: optional HelloFrame hello,
  2: optional OfferFrame offer,
  3: optional DataFrame data,
  4: optional EndFrame ended,
  5: optional CancelFrame cancel,
  6: optional CreditFrame credit,
  7: optional ControlMessage control,
  8: optional AcceptFrame accepted
}

// ---------------------------------------------------------------- placement of adapters, datagrams between VMs

/** A model, or an adapter named MODEL/ADAPTER, in one version. */
struct HeldWeights { 1: string name, 2: i32 version = 0 }

/** What an endpoint holds, as known to the VM that places adapters on it. */
struct EndpointHoldings {
  1: string endpoint,                  // incarnation id
  2: i64 orders,                       // orders that the endpoint has accepted so far
  3: list<HeldWeights> held,           // ready to serve
  4: i32 running = 0,                  // requests in progress, summed over the VMs
  5: bool heldOmitted = false,         // held is left out: told before, but for what follows
  6: list<HeldWeights> gained,         // since it was told last
  7: list<string> lost,
  8: i64 born = 0,                     // start of the incarnation, Unix milliseconds
  9: i32 index = -1                    // of its load in the owner's notices; -1: not given
}

/** Loads of models from the weight store to the endpoints of a zone, and what they have shown (modelloads.h). */
struct ModelLoads {                    // a number that is not set is 0
  1: optional i32 waiting,             // endpoints that could load a model now
  2: optional i32 loading,
  3: optional i32 placed,              // endpoints that have a model
  4: optional i32 epoch,               // how often the limit of loads at a time has fallen
  5: optional i32 base,                // limit when the epoch began; 0: the one of the number of engines
  6: optional i32 completed,           // loads in this epoch that used the limit and were not slowed
  7: optional i32 unsharedMilliseconds, // shortest load in this epoch without others beside it; 0: none
  8: optional i32 engines              // endpoints that have answered; not set: not stated
}
/** The placement owner of a zone tells the other owners of its loads. */
struct ModelLoadNews { 1: string zone, 2: i64 fencing, 3: ModelLoads loads }

/** Sent by the placement owner of a zone to every VM when something changed, and as a heartbeat. */
struct PlacementNotice {
  1: string zone,
  2: i64 fencing,                      // of the owner; a lower one is out of date
  3: list<EndpointHoldings> endpoints,
  4: i64 listAgeMilliseconds = -1,     // since the sender last read the platform's list of endpoints; -1: never
  5: bool yields = false,              // the sender gives the zone up: another VM is to claim it
  6: i64 listChange = 0,               // offset that a VM must know to have all that the sender has passed on
  7: i32 idlePlaces = -1,              // places for adapters in the zone that no request uses or waits for; -1: not known
  8: i64 listOffset = -1,              // up to which the sender knows the list; -1: it does not say
  9: i64 previousNews = 0,             // who has all news up to here has, with this notice, all up to `news`
  10: i64 news = 0,
  11: binary loads,                    // requests in progress at each endpoint, a byte each, by index; 255: not known
  12: optional i64 listEra,            // of the store, to which listChange and listOffset belong
  13: optional ModelLoads modelLoads   // unless the sender does not know yet
}

/** A VM that has missed news of a zone asks its owner for them. */
struct NewsAsked { 1: string zone, 2: i64 fencing, 3: i64 known }

/** What the sender has experienced of an endpoint. */
struct EndpointNews {
  1: string endpoint,
  2: i64 born = 0,                     // start of its incarnation, Unix milliseconds
  3: bool works = false,               // a request succeeded there, of which failures were told; otherwise one failed
  4: optional bool displaced           // another process has answered at its address; taken for a failure if not known
}

/** What an endpoint takes from all VMs together, and what was sent to it. */
struct LimitNews {
  1: string endpoint,
  2: i64 born = 0,                     // start of its incarnation, Unix milliseconds
  3: double perSecond = -1,            // as its answer named it; 0: its answer named none; -1: not said
  4: i64 ageMilliseconds = 0,          // since that answer came
  5: i32 sent = 0,                     // requests that the sender has just sent there
  6: optional i32 rejected,            // requests of the sender that the endpoint has just rejected for want of room
  7: optional double maxRejections,    // a second, all VMs together: with more of them the endpoint falls over
  8: optional i32 unanswered,          // requests of the sender that the endpoint has not answered
  9: optional i64 answeredAgeMilliseconds // since the latest of the sender's answered requests was sent; once for each
}

/** An endpoint ended with requests of the sender in progress. */
struct CrashReport {
  1: string endpoint,
  2: i64 born,                         // start of the incarnation that ended, Unix milliseconds
  3: string serviceName,
  4: list<i64> digests,                // of requests that had just begun, or had not begun
  5: list<i64> lateDigests,            // of requests that had been answered for a while
  6: optional list<i64> partDigests,   // of the parts of prompts of the former
  7: optional list<i64> latePartDigests, // of those of the latter alone
  8: optional list<i32> ages           // of the digests, in their order: milliseconds since the last copy was sent
}

/** Crashes that count against a request, and such as count no more. */
struct SuspectStatement { 1: i64 digest, 2: list<i64> charged, 3: list<i64> cleared }

/** What VMs tell each other of requests that may crash the endpoints that run them. */
struct CrashNews {
  1: list<CrashReport> crashes,
  2: list<i64> completed,              // digests of requests that an endpoint has answered whole
  3: list<SuspectStatement> suspects,  // told again and again
  4: list<i64> refuted,                // crashes of endpoints that are alive
  5: optional list<i64> completedParts, // digests of parts of prompts that an endpoint has answered whole
  6: optional list<SuspectStatement> suspectParts // told again and again
}

/** Asks for the lease of a request that may crash endpoints, renews it, or ends it. */
struct CopyLeaseAsk {
  1: i64 digest,                       // of the request
  2: i64 ticket,                       // of the copy, among those of the sender
  3: bool ended = false,               // the copy is not in progress any more, or was given up
  4: bool broken = false               // its connection broke, or the endpoint may still run it
}

/** Answers an ask that ends no lease. */
struct CopyLeaseAnswer {
  1: i64 digest,
  2: i64 ticket,
  3: bool granted,
  4: i32 waitMilliseconds = 0          // if not granted: another copy may have the lease for this long
}

/** An endpoint as the platform lists it, without what it holds. */
struct ListedEndpoint {
  1: string endpoint,
  2: string serviceName,
  3: string address,                   // host:port
  4: string zone,
  5: i32 slots,
  6: bool leaving = false,
  7: list<string> models,              // without adapters
  8: i64 born = 0,                     // start of the incarnation, Unix milliseconds
  9: optional string softwareVersion   // of the endpoint's software
}

/** Changes of the platform's list, passed on within a zone by the VM that reads it. */
struct ListChange {
  1: i64 offset,                       // of the list after the change
  2: list<ListedEndpoint> listed,
  3: list<string> removed,
  4: i64 previous = -1,                // all changes from this offset on are told, here or before; -1: it does not say
  5: i64 ageMilliseconds = -1,         // since the sender asked for what it read; -1: it does not say
  6: optional i64 era                  // of the store, to which both offsets belong; absent: the store names none
}

/** Requests of one VM that are in progress at an endpoint. */
struct EndpointUse { 1: string endpoint, 2: i32 running = 0, 3: list<string> names, 4: list<i32> counts }

/** Requests of one VM that wait for weights that no endpoint holds. */
struct WantedWeights {
  1: string name,
  2: i32 waiting = 0,
  3: i32 oldestMilliseconds = 0,       // age of the oldest of them
  4: i32 rank = 0                      // of the most urgent of them; 0 is the most urgent
}

/** What one VM runs and waits for; sent to the placement owners, and to all VMs as a heartbeat. */
struct DemandReport {
  1: list<EndpointUse> uses,
  2: list<WantedWeights> wanted,
  3: optional list<string> avoided     // endpoints that want no requests of the sender, if it waits for weights
}

/** A prompt of the sender joins the queue of an endpoint, or has been read there. */
struct PromptSent {
  1: string endpoint,
  2: i32 tokens,
  3: i64 ticket = 0,                   // names the prompt among all VMs
  4: bool ended = false,               // it leaves the queue
  5: i32 readMicroseconds = 0          // that it took, if it found the endpoint idle; 0: not known
}

/**
 * How far the operators' changes went when the sender began to read them. The two lists name processes and the last
 * datagram of each that the sender had received by then.
 */
struct ConfigRead {
  1: i64 offset,
  2: list<i64> incarnations,
  3: list<i64> numbers,
  4: optional i64 era                  // of the store, to which the offset belongs
}

/** Asks for units of an organisation's quota. Without a ticket it only says that the sender relies on the receiver. */
struct QuotaAsk {
  1: i64 ticket = 0,                   // names the request among those of the sender; 0: none
  2: string organisation,
  3: double units = 0,                 // that a request needs now
  4: double spare = 0                  // that the sender expects to need soon
}

/** Answers a request for units of a quota. */
struct QuotaAnswer {
  1: i64 ticket,
  2: double granted = 0,               // 0: refused
  3: i32 waitMilliseconds = 0          // if refused: when to ask again
}

/** The sender keeps a part of each quota for its zone. */
struct QuotaLedgerNews { 1: bool active = true }

/** What a VM adds to a request that it forwards to another one. */
struct ForwardedRequest {
  1: binary token,                     // of the receiver
  2: string vm,                        // the sender
  3: i64 configVersion,                // of the sender
  4: i64 ageMicroseconds,              // since the caller's request arrived
  5: i32 attemptsLeft,                 // endpoints on which it may still run
  6: string serviceName,
  7: optional string softwareVersion,  // of the endpoints that may run it; absent: any
  8: optional bool carriesConfig       // no request is forwarded: the body is the record of a configuration
}

/** The caller of a request that the sender has forwarded to the receiver has left. */
struct ForwardCancel { 1: string id }

/** How many requests an endpoint gets that can reject only a few, as known to the sender. */
struct EndpointShare {
  1: string endpoint,
  2: i64 born = 0,                     // start of its incarnation, Unix milliseconds
  3: double share = 1,                 // of the requests for which it is considered
  4: i32 stoppedMilliseconds = 0       // for which it gets none
}
/** Endpoints of a zone that can reject only a few requests. */
struct RejectionDigest {
  1: double maxRejections,             // a second, as their service states it
  2: string serviceName,
  3: list<EndpointShare> endpoints     // that do not get all requests; the others do
}

/** Streams that have begun, and the software version of the endpoint of each. The lists have one element a stream. */
struct OriginRecords {
  1: list<i64> keys,
  2: list<i16> versions,               // index of the version in versionNames
  3: list<i32> lifeMilliseconds,       // for which the stream may still be resumed; none: the streams have begun and are to be stored
  4: list<string> versionNames
}
struct OriginAsk { 1: i64 ticket, 2: i64 key }
struct OriginAnswer {
  1: i64 ticket,
  2: bool known,
  3: string softwareVersion,
  4: i64 collectedMilliseconds = 0     // for how long the sender has collected records
}
/** The sender asks the owner of its zone to read the list of endpoints now. */
struct ListAsk { 1: i64 ticket }
/** Answer of the owner, after a read that it has begun since it got the ask. */
struct ListAnswer {
  1: i64 ticket,
  2: bool current,                     // whether it could read
  3: i64 offset = 0,                   // end of the list
  4: i64 era = 0                       // of the store, to which the offset belongs
}

/** Asks a VM what it knows of a time that the sender has not watched. */
struct HistoryAsk { 1: i64 ticket }
/** Software versions of a service whose streams may be resumed. */
struct StatedVersions {
  1: string serviceName,
  2: optional string sole,             // the only one for the time watched; absent: several
  3: i64 watchedMilliseconds = 0,      // up to now, without a gap
  4: i64 mixedMilliseconds = 0         // for which a stream of another version may still be resumed
}
struct HistoryAnswer {
  1: i64 ticket,
  2: i64 era = 0,                      // of the store
  3: i64 eraMilliseconds = 0,          // for which the store has been in it at least
  4: i64 configVersion = 0,            // in force at the sender
  5: optional i64 proofMilliseconds,   // age of the sender's proof that no later configuration had been accepted
  6: list<StatedVersions> versions     // absent: the sender can't tell
}
/** One datagram. Exactly one of the optional bodies is set. */
struct VmDatagram {
  1: string vm,
  2: i64 incarnation,
  3: i64 number,                       // rises with each datagram of this incarnation
  4: string zone,
  5: bool leaving = false,
  6: optional PlacementNotice placement,
  7: optional DemandReport demand,
  8: optional PromptSent prompt,
  9: optional ListChange listChange,
  10: i64 configOffset = 0,            // how far the sender has read the operators' changes
  11: i32 millicores = 0,              // processor time that the sender has, in thousandths of a core
  12: optional i64 sentMilliseconds,   // by the sender's clock, where the content says how recent something is
  13: optional binary passOn,          // a datagram that the receiver takes in and passes on within its zone
  14: bool passedOn = false,           // it came by way of another VM
  15: string address,                  // of the sender, if it was passed on
  16: optional NewsAsked newsAsked,
  17: optional EndpointNews endpointNews,
  18: optional CrashNews crashNews,
  19: optional LimitNews limitNews,
  20: optional ConfigRead configRead,
  21: optional QuotaAsk quotaAsk,
  22: optional QuotaAnswer quotaAnswer,
  23: optional QuotaLedgerNews quotaLedger,
  24: optional list<string> unreachableServices, // with a heartbeat: the sender is cut off from their endpoints
  25: optional OriginRecords originRecords,
  26: optional OriginAsk originAsk,
  27: optional OriginAnswer originAnswer,
  28: optional i64 configVersion,       // with a heartbeat: version of the configuration in force at the sender
  29: optional i64 configAsk,           // the sender has this version in force and asks for a newer configuration
  30: optional i64 configEra,           // of the store, to which configOffset belongs
  31: optional ForwardCancel forwardCancel,
  32: optional RejectionDigest rejectionDigest,
  33: optional CopyLeaseAsk copyLeaseAsk,
  34: optional CopyLeaseAnswer copyLeaseAnswer,
  35: optional ListAsk listAsk,
  36: optional ListAnswer listAnswer,
  37: optional ModelLoadNews modelLoads,
  38: optional HistoryAsk historyAsk,
  39: optional HistoryAnswer historyAnswer
}
