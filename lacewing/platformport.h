// The calls that an entry VM makes to the platform and, besides forwarded requests, to endpoints. The implementation
// translates them into the platform's own formats and makes no decisions.
//
// All calls return at once. Each callback is called exactly once, later, on the event loop's thread.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "adapterplan.h"
#include "fleet.h"
#include "types.h"

namespace lacewing {

/// Answer to a claim of a zone.
struct ClaimReply {
    bool gained = false;
    std::int64_t newest = 0; ///< fencing number of the newest claim, of this VM or another one
};

/// Who has made the newest claim of a zone.
struct ClaimHolder {
    std::int64_t number = 0; ///< fencing number of the claim, or of the end of the log if its record has expired
    VmId vm; ///< empty: not known
    std::int64_t process = 0; ///< incarnation of the VM's process; 0: not stated
};

/// How an endpoint answered an order.
enum class OrderReply {
    Accepted, ///< the order is in progress
    Done, ///< the endpoint is already in the ordered state
    Conflict, ///< another order is in progress, or the expected number of orders differs
    Fenced, ///< a higher fencing number was seen
    OtherEndpoint, ///< the address belongs to another endpoint now
    Refused, ///< the endpoint can't execute the order
    Held, ///< not sent: the endpoint wants nothing now
    NoAnswer, ///< the order may be executed now, later or never
    Unreadable, ///< the same; what was answered can't be read
};

/// The state that an endpoint reports.
struct EndpointReport {
    std::int64_t born = 0; ///< start of the reporting incarnation; 0: not reported
    std::int64_t orders = 0;
    bool busy = false;
    HeldVersions held;
    HeldVersions loading;
    std::set<std::string> ownCopies; ///< models in its own memory or on its own disk, from where they load faster
    std::int32_t running = 0;
    std::int32_t queued = 0;
};

/// Answer of an endpoint that was asked for its report.
struct ReportAnswer {
    std::optional<EndpointReport> report;
    bool unreadable = false; ///< it has answered, and that can't be read
    bool fromOther = false; ///< another endpoint has answered at its address; certain, and not a late answer
};

/// Contact data of an entry VM, as announced.
struct VmContact {
    VmId vm;
    ZoneName zone;
    std::string address; ///< host:port for datagrams, and over TCP for forwarded requests
    std::string token = {}; ///< that a VM has to present with a forwarded request; empty: none are taken
};

struct PlatformPort {
    /// Claims this VM's zone for a process of this VM if the claim with this fencing number is still the newest.
    std::function<void(std::int64_t superseded, std::int64_t process, std::function<void(std::optional<ClaimReply>)>)>
        claim;
    /// Asks who has made the newest claim of this VM's zone.
    std::function<void(std::function<void(std::optional<ClaimHolder>)>)> claimHolder;
    /// Asks for the fencing number of the zone's newest claim.
    /// `known` is the fencing number of a claim that the caller knows.
    std::function<void(std::int64_t known, std::function<void(std::optional<std::int64_t>)>)> newestClaim;
    std::function<void(const PlacementOrder &, const std::string &address, std::int64_t fencing,
                       std::function<void(OrderReply)>)>
        order;
    std::function<void(const EndpointName &, const std::string &address, std::function<void(const ReportAnswer &)>)>
        report;
    /// Announces this VM to the others.
    std::function<void(const VmContact &, std::function<void(bool)>)> announce;
    /// Withdraws the announcement.
    std::function<void(const VmId &)> withdraw;
    /// Stores until when several software versions of a service matter. The answer is whether it was stored.
    std::function<void(const ServiceName &, std::int64_t untilUnixSeconds, std::function<void(bool)>)> storeMix;
    /// Stores the record of the streams that this VM has begun, among those of its zone. The answer is whether it is
    /// certain that it was stored.
    std::function<void(std::string record, std::function<void(bool)>)> storeOrigins;
    /// Reads what the VMs of the zone have stored last of the streams that they have begun, oldest first.
    std::function<void(std::function<void(std::optional<std::vector<std::string>>)>)> readOrigins;
    /// Lists the VMs that are announced. Before its callback, EntryNode::recordStoredMix() is called for each service
    /// with a stored mix.
    std::function<void(std::function<void(std::optional<std::vector<VmContact>>)>)> listVms;
};

} // namespace lacewing
