// The calls that an entry VM makes on the platform and on endpoints, beside requests. The implementation turns
// them into the platform's own formats; nothing here decides.
//
// All calls return at once. Each callback is called once, later, on the event loop's thread.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "adapterplan.h"
#include "fleet.h"
#include "types.h"

namespace lacewing {

/// Answer to a claim of a zone.
struct ClaimReply {
    bool gained = false;
    std::int64_t newest = 0; ///< fencing number of the newest claim, ours or another's
};

/// How an endpoint answered an order.
enum class OrderReply {
    Accepted, ///< it is being carried out
    Done, ///< what was ordered already holds
    Conflict, ///< another order is in progress, or the expected number of orders differs
    Fenced, ///< a higher fencing number was seen
    OtherEndpoint, ///< the address belongs to another endpoint now
    Refused, ///< the order makes no sense there
    NoAnswer, ///< it may be carried out now, later or never
};

/// What an endpoint says it holds and does.
struct EndpointReport {
    std::int64_t born = 0; ///< start of the incarnation that reports; 0: not said
    std::int64_t orders = 0;
    bool busy = false;
    HeldVersions held;
    HeldVersions coming;
    std::int32_t running = 0;
    std::int32_t queued = 0;
};

/// Another entry VM, as it announced itself.
struct VmContact {
    VmId vm;
    ZoneName zone;
    std::string address; ///< host:port for datagrams
};

struct PlatformPort {
    /// Claims this VM's zone if the claim with this fencing number is still the newest.
    std::function<void(std::int64_t superseded, std::function<void(std::optional<ClaimReply>)>)> claim;
    /// Asks for the fencing number of the zone's newest claim.
    /// `known` is one that is known of.
    std::function<void(std::int64_t known, std::function<void(std::optional<std::int64_t>)>)> newestClaim;
    std::function<void(const PlacementOrder &, const std::string &address, std::int64_t fencing,
                       std::function<void(OrderReply)>)>
        order;
    std::function<void(const EndpointName &, const std::string &address,
                       std::function<void(std::optional<EndpointReport>)>)>
        report;
    /// Makes this VM known to the others.
    std::function<void(const VmContact &, std::function<void(bool)>)> announce;
    /// Takes the announcement back.
    std::function<void(const VmId &)> withdraw;
    /// Lists the VMs that announced themselves.
    std::function<void(std::function<void(std::optional<std::vector<VmContact>>)>)> listVms;
};

} // namespace lacewing
