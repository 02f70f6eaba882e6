// Counts the datagrams that a VM sends and receives and their bytes, by kind: the cost of the exchange between VMs.

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
    ConfigRead,
    QuotaAsk,
    QuotaAnswer,
    QuotaLedger,
    OriginRecords,
    OriginAsk,
    OriginAnswer,
    ForwardCancel,
    RejectionDigest,
    CopyLeaseAsk,
    CopyLeaseAnswer,
    ListAsk,
    ListAnswer,
    ModelLoads,
    HistoryAsk,
    HistoryAnswer,
    PassedOn, ///< datagram of another VM, forwarded within the zone
};
constexpr std::size_t datagramKindCount = 26;

struct DatagramCount {
    std::int64_t datagrams = 0;
    std::int64_t bytes = 0;
};

/// Counts of one direction, indexed by kind.
using DatagramsByKind = std::array<DatagramCount, datagramKindCount>;

struct DatagramCounts {
    DatagramsByKind sentWithinZone;
    DatagramsByKind sentToOtherZones;
    DatagramsByKind received;
};

/// @param datagram any
/// @return kind of its content; Heartbeat for a datagram that a relay is to forward
DatagramKind kindOf(const wire::VmDatagram &datagram);

/// @param kind any
/// @return name of the kind in metrics
std::string_view nameOf(DatagramKind kind);

/// Counts one datagram.
/// @param counts changed
/// @param kind of the datagram
/// @param bytes its size
void count(DatagramsByKind &counts, DatagramKind kind, std::size_t bytes);

/// @param counts of one direction
/// @return text for a log line: kind=datagrams/bytes, separated by commas
std::string describe(const DatagramsByKind &counts);

} // namespace lacewing
