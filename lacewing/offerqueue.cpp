// Start-time fair queueing: an offer's tag is the later of the clock and the virtual finish of its member's
// previous offer, and the lowest tag goes first. A burst of one member pushes only its own tags ahead.
// Against deficit round robin: no rounds to keep, and the order within one adapter stays that of arrival.
// An offer that resumes was charged when it first came; it goes to the front, so that what it has cost so far
// is not lost to its deadline. Only the heads of the queues of resident adapters are compared, so a start costs as many
// steps as the endpoint has slots, not as it has offers.

#include "offerqueue.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::int64_t leastCost = 1;
constexpr std::size_t memberClockLimit = 4096;

FairClock &clockOf(OwnedEndpoint &endpoint, RequestClass requestClass)
{
    return requestClass == RequestClass::Urgent ? endpoint.urgentClock : endpoint.patientClock;
}

/// Forgets members whose last offer lies in the past: they start at the clock anyway.
void pruneClock(FairClock &clock)
{
    if (clock.finish.size() > memberClockLimit) {
        std::erase_if(clock.finish, [&clock](const auto &entry) { return entry.second <= clock.now; });
    }
}

template<typename Visit>
void visitStartableQueues(const OwnedEndpoint &endpoint, RequestClass requestClass, Visit visit)
{
    const auto visitQueue = [&](const AdapterVersion &adapter) {
        const auto found = endpoint.queues.find(adapter);
        if (found == endpoint.queues.end()) {
            return;
        }
        const auto &queue = requestClass == RequestClass::Urgent ? found->second.urgent : found->second.patient;
        if (!queue.empty()) {
            visit(queue);
        }
    };
    visitQueue(AdapterVersion());
    for (const auto &[adapter, slot] : endpoint.slots) {
        const bool freeing = slot.freeing && requestClass == RequestClass::Patient;
        if (slot.phase == SlotPhase::Resident && !freeing) {
            visitQueue(adapter);
        }
    }
}

} // namespace

void enqueueOffer(OwnedEndpoint &endpoint, QueuedOffer offer)
{
    const wire::RequestOffer &wanted = offer.offer;
    FairClock &clock = clockOf(endpoint, wanted.requestClass);
    pruneClock(clock);
    std::int64_t &finish = clock.finish[wanted.member];
    const bool resumed = wanted.resumePosition > 0;
    const QueueKey key {resumed ? clock.now : std::max(clock.now, finish), ++endpoint.arrivals};
    if (!resumed) {
        finish = key.tag + std::max<std::int64_t>(leastCost, wanted.maxTokens);
    }

    const bool urgent = wanted.requestClass == RequestClass::Urgent;
    endpoint.urgentQueued += urgent ? 1 : 0;
    endpoint.queued[wanted.attempt] = {wanted.adapter, wanted.requestClass, key, offer.deadline};
    endpoint.deadlines[{offer.deadline, key.arrival}] = wanted.attempt;
    AdapterQueue &queue = endpoint.queues[wanted.adapter];
    (urgent ? queue.urgent : queue.patient).emplace(key, std::move(offer));
}

std::optional<QueuedOffer> takeOffer(OwnedEndpoint &endpoint, const AttemptId &attempt)
{
    const auto position = endpoint.queued.find(attempt);
    if (position == endpoint.queued.end()) {
        return std::nullopt;
    }
    const QueuePosition &place = position->second;
    const auto queue = endpoint.queues.find(place.adapter);
    const bool urgent = place.requestClass == RequestClass::Urgent;
    auto &offers = urgent ? queue->second.urgent : queue->second.patient;
    const auto found = offers.find(place.key);
    QueuedOffer offer = std::move(found->second);
    offers.erase(found);
    if (queue->second.urgent.empty() && queue->second.patient.empty()) {
        endpoint.queues.erase(queue);
    }
    endpoint.urgentQueued -= urgent ? 1 : 0;
    endpoint.deadlines.erase({place.deadline, place.key.arrival});
    endpoint.queued.erase(position);
    return offer;
}

const QueuedOffer *nextStartable(const OwnedEndpoint &endpoint, RequestClass requestClass)
{
    const QueuedOffer *next = nullptr;
    QueueKey nextKey;
    visitStartableQueues(endpoint, requestClass, [&](const std::map<QueueKey, QueuedOffer> &queue) {
        const auto &[key, offer] = *queue.begin();
        if (next == nullptr || key < nextKey) {
            next = &offer;
            nextKey = key;
        }
    });
    return next;
}

std::size_t countStartable(const OwnedEndpoint &endpoint, RequestClass requestClass)
{
    std::size_t count = 0;
    visitStartableQueues(endpoint, requestClass,
                         [&count](const std::map<QueueKey, QueuedOffer> &queue) { count += queue.size(); });
    return count;
}

void advanceFairClock(OwnedEndpoint &endpoint, RequestClass requestClass, std::int64_t tag)
{
    FairClock &clock = clockOf(endpoint, requestClass);
    clock.now = std::max(clock.now, tag);
}

std::optional<AttemptId> lastPatient(const OwnedEndpoint &endpoint)
{
    const QueuedOffer *last = nullptr;
    QueueKey lastKey;
    for (const auto &[adapter, queue] : endpoint.queues) {
        if (!queue.patient.empty() && (last == nullptr || lastKey < queue.patient.rbegin()->first)) {
            lastKey = queue.patient.rbegin()->first;
            last = &queue.patient.rbegin()->second;
        }
    }
    return last == nullptr ? std::nullopt : std::optional(last->offer.attempt);
}

} // namespace lacewing
