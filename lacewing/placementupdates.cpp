// Changes of an endpoint that is not ready are kept until it is ready again, because its state is being read again.

#include "placementupdates.h"

#include <algorithm>

#include "clock.h"

namespace lacewing {

namespace {

/// Encoded size of an endpoint and of each of its weights in a datagram, without their names.
constexpr std::size_t bytesPerEndpoint = 30;
constexpr std::size_t bytesPerWeights = 6;

wire::HeldWeights heldWeights(const std::string &name, std::int32_t version)
{
    wire::HeldWeights held;
    held.name = name;
    held.version = version;
    return held;
}

std::size_t sizeOf(const wire::EndpointHoldings &holdings)
{
    std::size_t bytes = bytesPerEndpoint + holdings.endpoint.size();
    for (const auto *list : {&holdings.held, &holdings.gained}) {
        for (const wire::HeldWeights &one : *list) {
            bytes += bytesPerWeights + one.name.size();
        }
    }
    for (const std::string &name : holdings.lost) {
        bytes += bytesPerWeights + name.size();
    }
    return bytes;
}

/// Distributes endpoint entries over notices of bounded size.
class Packer
{
public:
    /// @return whether the entry fits into the last notice
    bool hasRoomFor(const wire::EndpointHoldings &holdings) const
    {
        return this->bytes == 0 || this->bytes + sizeOf(holdings) <= maxUpdateBytes;
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

PlacementUpdates::PlacementUpdates(asio::io_context &ioContext, RuntimeClock &runtimeClock)
    : clock(runtimeClock), timer(ioContext)
{
}

void PlacementUpdates::recordGained(const EndpointName &id, const std::string &weights, std::int32_t version)
{
    Change &change = this->changes[id];
    change.gained[weights] = version;
    change.lost.erase(weights);
    this->scheduleSend(gainDelay);
}

void PlacementUpdates::recordLost(const EndpointName &id, const std::string &weights)
{
    Change &change = this->changes[id];
    change.lost.insert(weights);
    change.gained.erase(weights);
    this->scheduleSend(lossDelay);
}

void PlacementUpdates::recordAllChanged(const EndpointName &id)
{
    this->changes[id].all = true;
    this->scheduleSend(gainDelay);
}

void PlacementUpdates::clear()
{
    this->changes.clear();
    this->sent.clear();
    this->nextIndex = 0;
    this->lastUpdate = 0;
    this->lastSentInFull.clear();
    this->due = TimePoint {};
    this->timer.cancel();
}

void PlacementUpdates::scheduleSend(Duration delay)
{
    const TimePoint newDue = this->clock.now() + delay;
    const bool scheduled = this->due.time_since_epoch().count() > 0;
    if (scheduled && this->due <= newDue) {
        return;
    }
    this->due = newDue;
    this->timer.expires_after(delay); // cancels an earlier wait, which ends with an error
    this->timer.async_wait([this](const NetError &error) {
        if (!error) {
            this->due = TimePoint {};
            if (this->onDue) {
                this->onDue();
            }
        }
    });
}

PlacementUpdates::SentState &PlacementUpdates::sentStateOf(const EndpointName &id, const PlacedEndpoint &endpoint)
{
    const auto [found, isNew] = this->sent.try_emplace(id);
    SentState &known = found->second;
    if (isNew
        || known.incarnationStart
            != endpoint.incarnationStart) { // a new incarnation gets a new index, so that old loads don't count for it
        known = {endpoint.incarnationStart, this->nextIndex, 0};
        this->nextIndex += 1;
    }
    return known;
}

wire::EndpointHoldings PlacementUpdates::summary(const EndpointName &id, const PlacedEndpoint &endpoint)
{
    wire::EndpointHoldings holdings;
    holdings.endpoint = id;
    holdings.born = endpoint.incarnationStart;
    holdings.orders = endpoint.orders;
    holdings.running = endpoint.running;
    holdings.index = this->sentStateOf(id, endpoint).index;
    holdings.heldOmitted = true;
    return holdings;
}

wire::EndpointHoldings PlacementUpdates::fullHoldings(const EndpointName &id, const PlacedEndpoint &endpoint)
{
    wire::EndpointHoldings holdings = this->summary(id, endpoint);
    holdings.heldOmitted = false;
    for (const auto &[weights, adapter] : endpoint.held) {
        holdings.held.push_back(heldWeights(weights, adapter.version));
    }
    return holdings;
}

wire::EndpointHoldings PlacementUpdates::changedHoldings(const EndpointName &id, const PlacedEndpoint &endpoint,
                                                         const Change &change)
{
    if (change.all) {
        return this->fullHoldings(id, endpoint);
    }
    wire::EndpointHoldings holdings = this->summary(id, endpoint);
    for (const auto &[weights, version] : change.gained) {
        holdings.gained.push_back(heldWeights(weights, version));
    }
    holdings.lost.assign(change.lost.begin(), change.lost.end());
    return holdings;
}

std::vector<wire::PlacementNotice> PlacementUpdates::takeChanges(const Endpoints &endpoints)
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
        packer.add(this->changedHoldings(id, found->second, change));
        return true;
    });
    if (packer.notices.front().endpoints.empty()) {
        return {};
    }
    for (wire::PlacementNotice &notice : packer.notices) {
        notice.previousNews = this->lastUpdate;
        this->lastUpdate += 1;
        notice.news = this->lastUpdate;
        for (const wire::EndpointHoldings &holdings : notice.endpoints) {
            this->sent.at(holdings.endpoint).update = this->lastUpdate;
        }
    }
    return std::move(packer.notices);
}

std::vector<wire::PlacementNotice> PlacementUpdates::noticesSince(const Endpoints &endpoints, std::int64_t known)
{
    std::map<std::int64_t, std::vector<EndpointName>> missing;
    for (const auto &[id, sentState] : this->sent) {
        const auto found = endpoints.find(id);
        if (sentState.update > known && found != endpoints.end()
            && found->second.incarnationStart == sentState.incarnationStart) {
            missing[sentState.update].push_back(id);
        }
    }
    Packer packer;
    packer.notices.front().previousNews = known;
    for (const auto &[update, ids] : missing) {
        for (const EndpointName &id : ids) {
            wire::EndpointHoldings holdings = this->fullHoldings(id, endpoints.at(id));
            if (!packer.hasRoomFor(holdings)) {
                packer.notices.back().news = update - 1; // the rest of this update follows in the next notice
            }
            packer.add(std::move(holdings));
        }
    }
    packer.notices.back().news = this->lastUpdate;
    for (std::size_t index = 1; index < packer.notices.size(); ++index) {
        packer.notices[index].previousNews = packer.notices[index - 1].news;
    }
    return std::move(packer.notices);
}

std::string PlacementUpdates::loads(const Endpoints &endpoints) const
{
    std::string bytes(static_cast<std::size_t>(this->nextIndex), static_cast<char>(unknownLoad));
    for (const auto &[id, sentState] : this->sent) {
        const auto found = endpoints.find(id);
        if (found != endpoints.end() && found->second.ready
            && found->second.incarnationStart == sentState.incarnationStart) {
            const std::int32_t running = std::clamp(found->second.running, 0, unknownLoad - 1);
            bytes.at(static_cast<std::size_t>(sentState.index)) = static_cast<char>(running);
        }
    }
    return bytes;
}

wire::PlacementNotice PlacementUpdates::nextNotice(const Endpoints &endpoints)
{
    wire::PlacementNotice notice;
    notice.loads = this->loads(endpoints);
    notice.previousNews = this->lastUpdate;
    notice.news = this->lastUpdate;
    auto position = endpoints.upper_bound(this->lastSentInFull);
    for (std::size_t count = 0; count < std::min(fullEndpointsPerNotice, endpoints.size()); ++count) {
        position = position == endpoints.end() ? endpoints.begin() : position;
        const auto &[id, endpoint] = *position;
        if (endpoint.ready && this->sent.contains(id)) {
            wire::EndpointHoldings holdings = this->fullHoldings(id, endpoint);
            if (!notice.endpoints.empty() && sizeOf(notice.endpoints.front()) + sizeOf(holdings) > maxUpdateBytes) {
                break;
            }
            notice.endpoints.push_back(std::move(holdings));
        }
        this->lastSentInFull = id;
        ++position;
    }
    return notice;
}

} // namespace lacewing
