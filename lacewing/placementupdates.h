// Updates that a placement owner sends to the other VMs about its endpoints: changes soon, everything else in turn.
//
//   PlacementUpdates updates(context, clock);
//   updates.onDue = [&] { for (const wire::PlacementNotice &notice : updates.takeChanges(endpoints)) send(notice); };
//   updates.recordGained(id, weights, version); updates.recordLost(id, weights);
//   send(updates.nextNotice(endpoints));                                   // twice a second
//   for (... : updates.noticesSince(endpoints, known)) sendTo(vm, ...);    // to a VM that has missed updates
//
// Load pattern: sixty loads and unloads a second on hundreds of endpoints, sent to hundreds of VMs over a link of
// 10 Mbit/s by an owner that has 0.12 of a core. The full state of an endpoint takes some hundred bytes, a change 80,
// and each datagram costs processor time. So changes are collected for some milliseconds and sent as differences.
// Updates are numbered: a VM that has missed some detects the gap (updateprogress) and asks for them, so the full state
// need not be sent repeatedly. The load of an endpoint takes one byte, at an index that the endpoint's first update
// names.
//
// No notice is larger than a link carries unfragmented, because a datagram is lost if any of its fragments is lost.

#pragma once

#include "netaddress.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "adapterplan.h"
#include "lacewing_types.h"

namespace lacewing {

class RuntimeClock;

/// How long completed loads are collected before they are sent. Requests wait for them, and a load takes 250 ms or
/// more.
constexpr Duration gainDelay = milliseconds(15);
/// How long unloads are collected unless a completed load is sent earlier: no request was using the adapter.
constexpr Duration lossDelay = milliseconds(100);
/// Maximum size of the endpoint entries of a notice in bytes; the whole datagram stays below 1,400.
constexpr std::size_t maxUpdateBytes = 1100;
/// Number of endpoints whose full state is in each regular notice, in turn, whether or not they changed. This corrects
/// a VM that an endpoint told that an adapter is not resident, when that answer was outdated on arrival.
constexpr std::size_t fullEndpointsPerNotice = 2;
/// Encoded load of an endpoint whose load is not known.
constexpr unsigned char unknownLoad = 255;

class PlacementUpdates
{
public:
    using Endpoints = std::map<EndpointName, PlacedEndpoint>;

    PlacementUpdates(asio::io_context &ioContext, RuntimeClock &runtimeClock);

    void recordGained(const EndpointName &id, const std::string &weights, std::int32_t version);
    void recordLost(const EndpointName &id, const std::string &weights);
    /// Records that the full state of the endpoint has to be sent.
    void recordAllChanged(const EndpointName &id);
    /// Discards all changes and restarts the numbering of updates.
    void clear();

    /// @param endpoints all endpoints of the zone
    /// @return the changes that have not been sent yet
    std::vector<wire::PlacementNotice> takeChanges(const Endpoints &endpoints);
    /// @param endpoints all endpoints of the zone
    /// @return the loads of all endpoints and the full state of some, which are taken in turn from call to call
    wire::PlacementNotice nextNotice(const Endpoints &endpoints);
    /// @param endpoints all endpoints of the zone
    /// @param known number up to which a VM has all updates
    /// @return the updates that the VM has missed
    std::vector<wire::PlacementNotice> noticesSince(const Endpoints &endpoints, std::int64_t known);

    /// Called when changes are due to be sent.
    std::function<void()> onDue;

private:
    struct Change {
        bool all = false;
        std::map<std::string, std::int32_t> gained;
        std::set<std::string> lost;
    };

    /// What has been sent about an endpoint.
    struct SentState {
        std::int64_t incarnationStart = 0;
        std::int32_t index = 0; ///< index in the list of loads
        std::int64_t update = 0; ///< number of the last update about the endpoint
    };

    void scheduleSend(Duration delay);
    SentState &sentStateOf(const EndpointName &id, const PlacedEndpoint &endpoint);
    wire::EndpointHoldings summary(const EndpointName &id, const PlacedEndpoint &endpoint);
    wire::EndpointHoldings fullHoldings(const EndpointName &id, const PlacedEndpoint &endpoint);
    wire::EndpointHoldings changedHoldings(const EndpointName &id, const PlacedEndpoint &endpoint,
                                           const Change &change);
    std::string loads(const Endpoints &endpoints) const;

    RuntimeClock &clock;
    asio::steady_timer timer;
    TimePoint due; ///< when changes are sent; zero: not scheduled
    std::map<EndpointName, Change> changes;
    std::map<EndpointName, SentState> sent;
    std::int32_t nextIndex = 0;
    std::int64_t lastUpdate = 0; ///< number of the last update
    EndpointName lastSentInFull; ///< last endpoint whose full state was in a regular notice
};

} // namespace lacewing
