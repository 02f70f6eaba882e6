// A change of an endpoint that is not ready is kept until it is: its state is being read anew.

#include "placementnews.h"

#include <algorithm>

#include "clock.h"

namespace lacewing {

namespace {

/// Of an endpoint and of each of its weights in a datagram, beside their names.
constexpr std::size_t bytesOfEndpoint = 30;
constexpr std::size_t bytesOfWeights = 6;

wire::HeldWeights heldWeights(const std::string &name, std::int32_t version)
{
    wire::HeldWeights held;
    held.name = name;
    held.version = version;
    return held;
}

std::size_t sizeOf(const wire::EndpointHoldings &holdings)
{
    std::size_t bytes = bytesOfEndpoint + holdings.endpoint.size();
    for (const auto *list : {&holdings.held, &holdings.gained}) {
        for (const wire::HeldWeights &one : *list) {
            bytes += bytesOfWeights + one.name.size();
        }
    }
    for (const std::string &name : holdings.lost) {
        bytes += bytesOfWeights + name.size();
    }
    return bytes;
}

/// Puts endpoints into notices of bounded size.
class Packer
{
public:
    /// @return whether the notice that is being filled has room
    bool hasRoomFor(const wire::EndpointHoldings &holdings) const
    {
        return this->bytes == 0 || this->bytes + sizeOf(holdings) <= mostNewsBytes;
    }

    void add(wire::EndpointHoldings holdings)
    {
        if (!this->hasRoomFor(holdings)) {
            this->notices.emplace_back();
            this->bytes = 0;
        }
        this->bytes += sizeOf(holdings);
        this->notices.back().endpoints.push_back(std::move(holdings));
    }

    std::vector<wire::PlacementNotice> notices {1};

private:
    std::size_t bytes = 0;
};

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
    this->told.clear();
    this->nextIndex = 0;
    this->newest = 0;
    this->retold.clear();
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

PlacementNews::Told &PlacementNews::toldOf(const EndpointName &id, const PlacedEndpoint &endpoint)
{
    const auto [found, isNew] = this->told.try_emplace(id);
    Told &known = found->second;
    if (isNew || known.born != endpoint.born) { // a restarted one gets a place of its own, so that no load is mistaken
        known = {endpoint.born, this->nextIndex, 0};
        this->nextIndex += 1;
    }
    return known;
}

wire::EndpointHoldings PlacementNews::outline(const EndpointName &id, const PlacedEndpoint &endpoint)
{
    wire::EndpointHoldings holdings;
    holdings.endpoint = id;
    holdings.born = endpoint.born;
    holdings.orders = endpoint.orders;
    holdings.running = endpoint.running;
    holdings.index = this->toldOf(id, endpoint).index;
    holdings.heldOmitted = true;
    return holdings;
}

wire::EndpointHoldings PlacementNews::inFull(const EndpointName &id, const PlacedEndpoint &endpoint)
{
    wire::EndpointHoldings holdings = this->outline(id, endpoint);
    holdings.heldOmitted = false;
    for (const auto &[weights, adapter] : endpoint.held) {
        holdings.held.push_back(heldWeights(weights, adapter.version));
    }
    return holdings;
}

wire::EndpointHoldings PlacementNews::changed(const EndpointName &id, const PlacedEndpoint &endpoint,
                                              const Change &change)
{
    if (change.all) {
        return this->inFull(id, endpoint);
    }
    wire::EndpointHoldings holdings = this->outline(id, endpoint);
    for (const auto &[weights, version] : change.gained) {
        holdings.gained.push_back(heldWeights(weights, version));
    }
    holdings.lost.assign(change.lost.begin(), change.lost.end());
    return holdings;
}

std::vector<wire::PlacementNotice> PlacementNews::takeChanges(const Endpoints &endpoints)
{
    Packer packer;
    std::erase_if(this->changes, [&](const auto &entry) {
        const auto &[id, change] = entry;
        const auto found = endpoints.find(id);
        if (found == endpoints.end()) {
            return true;
        }
        if (!found->second.ready) {
            return false;
        }
        packer.add(this->changed(id, found->second, change));
        return true;
    });
    if (packer.notices.front().endpoints.empty()) {
        return {};
    }
    for (wire::PlacementNotice &notice : packer.notices) {
        notice.previousNews = this->newest;
        this->newest += 1;
        notice.news = this->newest;
        for (const wire::EndpointHoldings &holdings : notice.endpoints) {
            this->told.at(holdings.endpoint).news = this->newest;
        }
    }
    return std::move(packer.notices);
}

std::vector<wire::PlacementNotice> PlacementNews::since(const Endpoints &endpoints, std::int64_t known)
{
    std::map<std::int64_t, std::vector<EndpointName>> lacked;
    for (const auto &[id, what] : this->told) {
        const auto found = endpoints.find(id);
        if (what.news > known && found != endpoints.end() && found->second.born == what.born) {
            lacked[what.news].push_back(id);
        }
    }
    Packer packer;
    packer.notices.front().previousNews = known;
    for (const auto &[news, ids] : lacked) {
        for (const EndpointName &id : ids) {
            wire::EndpointHoldings holdings = this->inFull(id, endpoints.at(id));
            if (!packer.hasRoomFor(holdings)) {
                packer.notices.back().news = news - 1; // the endpoints of this number follow in the next notice
            }
            packer.add(std::move(holdings));
        }
    }
    packer.notices.back().news = this->newest;
    for (std::size_t index = 1; index < packer.notices.size(); ++index) {
        packer.notices[index].previousNews = packer.notices[index - 1].news;
    }
    return std::move(packer.notices);
}

std::string PlacementNews::loads(const Endpoints &endpoints) const
{
    std::string bytes(static_cast<std::size_t>(this->nextIndex), static_cast<char>(unknownLoad));
    for (const auto &[id, what] : this->told) {
        const auto found = endpoints.find(id);
        if (found != endpoints.end() && found->second.ready && found->second.born == what.born) {
            const std::int32_t running = std::clamp(found->second.running, 0, unknownLoad - 1);
            bytes.at(static_cast<std::size_t>(what.index)) = static_cast<char>(running);
        }
    }
    return bytes;
}

wire::PlacementNotice PlacementNews::next(const Endpoints &endpoints)
{
    wire::PlacementNotice notice;
    notice.loads = this->loads(endpoints);
    notice.previousNews = this->newest;
    notice.news = this->newest;
    auto place = endpoints.upper_bound(this->retold);
    for (std::size_t count = 0; count < std::min(retoldEndpoints, endpoints.size()); ++count) {
        place = place == endpoints.end() ? endpoints.begin() : place;
        const auto &[id, endpoint] = *place;
        if (endpoint.ready && this->told.contains(id)) {
            wire::EndpointHoldings holdings = this->inFull(id, endpoint);
            if (!notice.endpoints.empty() && sizeOf(notice.endpoints.front()) + sizeOf(holdings) > mostNewsBytes) {
                break;
            }
            notice.endpoints.push_back(std::move(holdings));
        }
        this->retold = id;
        ++place;
    }
    return notice;
}

} // namespace lacewing
