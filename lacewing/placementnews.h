// What a placement owner tells the other VMs of its endpoints: what changes at once, the rest by and by.
//
//   PlacementNews news(context, clock);
//   news.onDue = [&] { send(news.takeChanges(endpoints)); };
//   news.noteGained(id, weights, version); news.noteLost(id, weights);
//   send(news.next(endpoints));                       // twice a second
//
// Load pattern: sixty loads and unloads a second, told to seventy VMs over a link of 10 Mbit/s that belongs to an owner
// on 0.12 of a core. A notice of all that an endpoint holds takes 500 bytes, a change 80; and each datagram costs
// processor time. So changes are gathered for some milliseconds and told as differences, and what each endpoint holds
// is told in full now and then, for VMs that have missed a difference.

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

/// Changes for which callers wait are gathered this long: a load takes 250 ms and more.
constexpr Duration gainDelay = milliseconds(15);
/// Unloads are told this late unless a gain goes out before: nobody used the adapter.
constexpr Duration lossDelay = milliseconds(100);
/// Notices after which each endpoint's holdings were told in full once more.
constexpr std::size_t noticesOfAll = 8;

class PlacementNews
{
public:
    using Endpoints = std::map<EndpointName, PlacedEndpoint>;

    PlacementNews(asio::io_context &ioContext, RuntimeClock &runtimeClock);

    void noteGained(const EndpointName &id, const std::string &weights, std::int32_t version);
    void noteLost(const EndpointName &id, const std::string &weights);
    /// All that the endpoint holds is to be told.
    void noteAll(const EndpointName &id);
    /// Forgets all changes.
    void clear();

    /// @param endpoints of the zone
    /// @return the changes that were not told yet
    std::vector<wire::EndpointHoldings> takeChanges(const Endpoints &endpoints);
    /// @param endpoints of the zone
    /// @return how busy all of them are, and what some of them hold: others with each call
    std::vector<wire::EndpointHoldings> next(const Endpoints &endpoints);

    /// Called when changes are to be told.
    std::function<void()> onDue;

private:
    struct Change {
        bool all = false;
        std::map<std::string, std::int32_t> gained;
        std::set<std::string> lost;
    };

    void tellAfter(Duration delay);

    RuntimeClock &clock;
    asio::steady_timer timer;
    TimePoint due; ///< when changes are told; zero: not at all
    std::map<EndpointName, Change> changes;
    std::size_t made = 0; ///< regular notices so far
};

} // namespace lacewing
