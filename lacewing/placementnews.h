// What a placement owner tells the other VMs of its endpoints: what changes at once, the rest by and by.
//
//   PlacementNews news(context, clock);
//   news.onDue = [&] { for (const wire::PlacementNotice &notice : news.takeChanges(endpoints)) send(notice); };
//   news.noteGained(id, weights, version); news.noteLost(id, weights);
//   send(news.next(endpoints));                                 // twice a second
//   for (... : news.since(endpoints, known)) sendTo(vm, ...);   // to a VM that has missed some
//
// Load pattern: sixty loads and unloads a second at hundreds of endpoints, told to hundreds of VMs over a link of
// 10 Mbit/s that belongs to an owner on 0.12 of a core. All that an endpoint holds takes some hundred bytes, a change
// 80, and each datagram costs processor time. So changes are gathered for some milliseconds and told as differences.
// News are numbered: a VM that has missed some notices it (newsprogress) and asks, so nothing need be told in full
// again and again. How busy endpoints are takes a byte each, at a place in a list that its first news names.
//
// No notice is larger than a link carries unfragmented, as one is lost whole with any of its fragments.

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
/// What a notice tells of endpoints, in bytes: with what goes round it, less than 1,400.
constexpr std::size_t mostNewsBytes = 1100;
/// Endpoints that a regular notice tells in full, in turn, whether or not they changed: a VM that was told by an
/// endpoint that it lacks an adapter, wrongly by the time it heard that, learns so here.
constexpr std::size_t retoldEndpoints = 2;
/// Load of an endpoint that is not known.
constexpr unsigned char unknownLoad = 255;

class PlacementNews
{
public:
    using Endpoints = std::map<EndpointName, PlacedEndpoint>;

    PlacementNews(asio::io_context &ioContext, RuntimeClock &runtimeClock);

    void noteGained(const EndpointName &id, const std::string &weights, std::int32_t version);
    void noteLost(const EndpointName &id, const std::string &weights);
    /// All that the endpoint holds is to be told.
    void noteAll(const EndpointName &id);
    /// Forgets all changes and begins to count anew.
    void clear();

    /// @param endpoints of the zone
    /// @return the changes that were not told yet
    std::vector<wire::PlacementNotice> takeChanges(const Endpoints &endpoints);
    /// @param endpoints of the zone
    /// @return how busy all of them are, and what some of them hold: others with each call
    wire::PlacementNotice next(const Endpoints &endpoints);
    /// @param endpoints of the zone
    /// @param known number up to which a VM has all news
    /// @return what it lacks
    std::vector<wire::PlacementNotice> since(const Endpoints &endpoints, std::int64_t known);

    /// Called when changes are to be told.
    std::function<void()> onDue;

private:
    struct Change {
        bool all = false;
        std::map<std::string, std::int32_t> gained;
        std::set<std::string> lost;
    };

    /// What was told of an endpoint.
    struct Told {
        std::int64_t born = 0; ///< start of the incarnation
        std::int32_t index = 0; ///< in the list of loads
        std::int64_t news = 0; ///< number of the last news of it
    };

    void tellAfter(Duration delay);
    Told &toldOf(const EndpointName &id, const PlacedEndpoint &endpoint);
    wire::EndpointHoldings outline(const EndpointName &id, const PlacedEndpoint &endpoint);
    wire::EndpointHoldings inFull(const EndpointName &id, const PlacedEndpoint &endpoint);
    wire::EndpointHoldings changed(const EndpointName &id, const PlacedEndpoint &endpoint, const Change &change);
    std::string loads(const Endpoints &endpoints) const;

    RuntimeClock &clock;
    asio::steady_timer timer;
    TimePoint due; ///< when changes are told; zero: not at all
    std::map<EndpointName, Change> changes;
    std::map<EndpointName, Told> told;
    std::int32_t nextIndex = 0;
    std::int64_t newest = 0; ///< number of the last news
    EndpointName retold; ///< the last endpoint that a regular notice told in full
};

} // namespace lacewing
