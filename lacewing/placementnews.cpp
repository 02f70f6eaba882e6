// A change of an endpoint that is not ready is kept until it is: its state is being read anew.

#include "placementnews.h"

#include "clock.h"

namespace lacewing {

namespace {

wire::HeldWeights heldWeights(const std::string &name, std::int32_t version)
{
    wire::HeldWeights held;
    held.name = name;
    held.version = version;
    return held;
}

wire::EndpointHoldings outline(const EndpointName &id, const PlacedEndpoint &endpoint)
{
    wire::EndpointHoldings holdings;
    holdings.endpoint = id;
    holdings.born = endpoint.born;
    holdings.orders = endpoint.orders;
    holdings.running = endpoint.running;
    holdings.heldOmitted = true;
    return holdings;
}

wire::EndpointHoldings inFull(const EndpointName &id, const PlacedEndpoint &endpoint)
{
    wire::EndpointHoldings holdings = outline(id, endpoint);
    holdings.heldOmitted = false;
    for (const auto &[weights, adapter] : endpoint.held) {
        holdings.held.push_back(heldWeights(weights, adapter.version));
    }
    return holdings;
}

} // namespace

PlacementNews::PlacementNews(asio::io_context &ioContext, RuntimeClock &runtimeClock)
    : clock(runtimeClock), timer(ioContext)
{
}

void PlacementNews::noteGained(const EndpointName &id, const std::string &weights, std::int32_t version)
{
    Change &change = this->changes[id];
    change.gained[weights] = version;
    change.lost.erase(weights);
    this->tellAfter(gainDelay);
}

void PlacementNews::noteLost(const EndpointName &id, const std::string &weights)
{
    Change &change = this->changes[id];
    change.lost.insert(weights);
    change.gained.erase(weights);
    this->tellAfter(lossDelay);
}

void PlacementNews::noteAll(const EndpointName &id)
{
    this->changes[id].all = true;
    this->tellAfter(gainDelay);
}

void PlacementNews::clear()
{
    this->changes.clear();
    this->due = TimePoint {};
    this->timer.cancel();
}

void PlacementNews::tellAfter(Duration delay)
{
    const TimePoint wanted = this->clock.now() + delay;
    const bool waiting = this->due.time_since_epoch().count() > 0;
    if (waiting && this->due <= wanted) {
        return;
    }
    this->due = wanted;
    this->timer.expires_after(delay); // an earlier wait ends with an error
    this->timer.async_wait([this](const NetError &error) {
        if (!error) {
            this->due = TimePoint {};
            if (this->onDue) {
                this->onDue();
            }
        }
    });
}

std::vector<wire::EndpointHoldings> PlacementNews::takeChanges(const Endpoints &endpoints)
{
    std::vector<wire::EndpointHoldings> told;
    std::erase_if(this->changes, [&](const auto &entry) {
        const auto &[id, change] = entry;
        const auto found = endpoints.find(id);
        if (found == endpoints.end()) {
            return true;
        }
        if (!found->second.ready) {
            return false;
        }
        wire::EndpointHoldings holdings = change.all ? inFull(id, found->second) : outline(id, found->second);
        if (!change.all) {
            for (const auto &[weights, version] : change.gained) {
                holdings.gained.push_back(heldWeights(weights, version));
            }
            holdings.lost.assign(change.lost.begin(), change.lost.end());
        }
        told.push_back(std::move(holdings));
        return true;
    });
    return told;
}

std::vector<wire::EndpointHoldings> PlacementNews::next(const Endpoints &endpoints)
{
    std::vector<wire::EndpointHoldings> told;
    std::size_t index = this->made++;
    for (const auto &[id, endpoint] : endpoints) {
        const bool full = index++ % noticesOfAll == 0;
        if (endpoint.ready) {
            told.push_back(full ? inFull(id, endpoint) : outline(id, endpoint));
        }
    }
    return told;
}

} // namespace lacewing
