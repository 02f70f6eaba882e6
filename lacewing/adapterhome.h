// Where an adapter is at home: each VM finds the same order of endpoints for it without asking anybody.
//
// Load pattern: thousands of rare adapters, each asked for now and then. An endpoint keeps what it held before in
// memory or on disk and loads it again ten times faster than from the weight store, so a rare adapter goes back
// to where it was. Rendezvous hashing moves only the adapters of an endpoint that comes or goes.

#pragma once

#include <cstdint>
#include <string_view>

namespace lacewing {

/// @param weights MODEL/ADAPTER
/// @param endpoint id of an endpoint
/// @return rank of the endpoint for these weights; the highest is the home
std::uint64_t homeRank(std::string_view weights, std::string_view endpoint);

} // namespace lacewing
