// How many datagrams of each kind a VM sends and receives, and how many bytes: what the VMs cost one another.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewing {

namespace wire {
class VmDatagram;
}

enum class DatagramKind {
    Heartbeat,
    Placement,
    Demand,
    Prompt,
    List,
    NewsAsked,
    EndpointNews,
    CrashNews,
    LimitNews,
    PassedOn, ///< of another VM, within the zone
};
constexpr std::size_t datagramKinds = 10;

struct DatagramCount {
    std::int64_t datagrams = 0;
    std::int64_t bytes = 0;
};

/// Of one direction, by kind.
using DatagramsByKind = std::array<DatagramCount, datagramKinds>;

struct DatagramCounts {
    DatagramsByKind sentWithinZone;
    DatagramsByKind sentToOtherZones;
    DatagramsByKind received;
};

/// @param datagram any
/// @return what it is about; of one that is to be passed on, Heartbeat
DatagramKind kindOf(const wire::VmDatagram &datagram);

/// @param kind any
/// @return its name in metrics
std::string_view nameOf(DatagramKind kind);

/// @param counts changed
/// @param kind of a datagram
/// @param bytes its size
void count(DatagramsByKind &counts, DatagramKind kind, std::size_t bytes);

/// @param counts so far
/// @return one text for a log line: kind=datagrams/bytes, separated by commas
std::string describe(const DatagramsByKind &counts);

} // namespace lacewing
