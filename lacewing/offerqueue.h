// The queues of one owned endpoint: one per adapter version and class, all ordered by fair queueing
// between members.
//
//   enqueueOffer(endpoint, offer);
//   if (const QueuedOffer *next = nextStartable(endpoint, RequestClass::Urgent)) {
//       std::optional<QueuedOffer> taken = takeOffer(endpoint, next->offer.attempt);
//       noteStarted(endpoint, *taken, position) ...
//   }

#pragma once

#include <optional>

#include "ownerstate.h"
#include "types.h"

namespace lacewing {

/// @param endpoint the endpoint, changed
/// @param offer what waits; its attempt is not queued yet
void enqueueOffer(OwnedEndpoint &endpoint, QueuedOffer offer);

/// Takes an offer out, wherever it stands.
/// @param endpoint the endpoint, changed
/// @param attempt the offer's attempt
/// @return the offer, none if it is not queued
std::optional<QueuedOffer> takeOffer(OwnedEndpoint &endpoint, const AttemptId &attempt);

/// @param endpoint the endpoint
/// @param requestClass class to look at
/// @return the first offer in fair order whose adapter is resident (or that needs none), null if none
const QueuedOffer *nextStartable(const OwnedEndpoint &endpoint, RequestClass requestClass);

/// @param endpoint the endpoint
/// @param requestClass class to count
/// @return offers of the class whose adapter is resident or that need none
std::size_t countStartable(const OwnedEndpoint &endpoint, RequestClass requestClass);

/// Moves the fair clock on when an offer starts.
/// @param endpoint the endpoint, changed
/// @param requestClass class of the offer
/// @param tag its virtual start time
void advanceFairClock(OwnedEndpoint &endpoint, RequestClass requestClass, std::int64_t tag);

/// @param endpoint the endpoint
/// @return the patient offer that came last in fair order, none if there is none
std::optional<AttemptId> lastPatient(const OwnedEndpoint &endpoint);

} // namespace lacewing
