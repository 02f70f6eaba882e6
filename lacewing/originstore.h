// Stores on the platform which software version began each stream, for the VMs that start after all have ended.
//
//   OriginStore store(vm, ports);
//   store.add(key, version);   // when the first bytes of a stream have arrived, while several versions serve
//   store.receive(records);    // that another VM of the zone has sent
//   ...
//   if (const auto records = decodeOrigins(read)) ...   // at a VM that starts
//
// Load pattern: during a release, a VM begins some ten streams per second for a minute. All VMs may be killed at the
// same time, and most of their streams are resumed within seconds after the first VM is back. Calls on the platform are
// few and dear, datagrams within a zone are neither: one VM stores the streams of its zone. What began within the last
// interval is not known afterwards.
//
// Only streams that have begun are stored: before its first byte, a request may still go to an endpoint of another
// version, and a VM that is killed in between would leave a record of the wrong one.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "streamorigins.h"
#include "types.h"

namespace lacewing {

namespace wire {
class OriginRecords;
} // namespace wire

/// Interval between two datagrams of a VM to the VM that stores.
constexpr Duration originSendInterval = milliseconds(100);
/// Interval between two calls of a VM that stores. The streams of a shorter one are few compared with those in
/// progress.
constexpr Duration minOriginInterval = milliseconds(250);
/// Calls that all VMs together make in a second if no VM stores for others: a small part of what the log service
/// carries.
constexpr std::size_t originCallsPerSecond = 100;
/// Streams in one call, of some 11 bytes each.
constexpr std::size_t maxOriginsInCall = 4096;
/// Streams in one datagram: with their versions, less than the 1,400 bytes that cross any link.
constexpr std::size_t maxOriginsInDatagram = 48;

/// Versions by stream.
using BegunStreams = std::map<StreamKey, std::string>;

/// @param vms in use
/// @param storesForOthers whether this VM stores for its zone; otherwise each VM stores its own streams
/// @return interval between two calls of a VM
Duration originInterval(std::size_t vms, bool storesForOthers);

/// @param streams that have begun
/// @return message about them, which states no times for which they may be resumed
wire::OriginRecords makeBegunRecords(const BegunStreams &streams);

/// @param records that another VM has sent
/// @return whether they are about streams that have begun, and not for holders (originexchange.h)
bool areBegunRecords(const wire::OriginRecords &records);

/// @param streams by key
/// @return the record that is stored
std::string encodeOrigins(const BegunStreams &streams);

/// @param record as stored, by any writer
/// @return its streams; nothing: it can't be read
std::optional<wire::OriginRecords> decodeOrigins(std::string_view record);

struct OriginStorePorts {
    /// Stores a record; the callback is called once, with whether that is certain.
    std::function<void(std::string record, std::function<void(bool)>)> append;
    /// Sends records to another VM.
    std::function<void(const VmId &, const wire::OriginRecords &)> send;
    /// Returns the VM that stores for the zone; nothing: none is known.
    std::function<std::optional<VmId>()> storer;
    std::function<void(Duration)> wakeAfter; ///< flush() is to be called after this time
    std::function<std::size_t()> vmsInUse;
};

class OriginStore
{
public:
    /// @param vmName this VM
    /// @param storePorts what carries out what is decided here
    OriginStore(VmId vmName, OriginStorePorts storePorts);

    /// Stores a stream of this VM with the next call.
    /// @param key of the stream
    /// @param softwareVersion that began it
    void add(StreamKey key, std::string_view softwareVersion);
    /// Stores streams of another VM with the next call.
    /// @param records that it has sent
    void receive(const wire::OriginRecords &records);
    /// Stores what waits, unless a call is in progress, or sends it to the VM that stores.
    void flush();

    std::int64_t stored = 0; ///< streams since the start
    std::int64_t dropped = 0; ///< streams since the start, because too many were waiting

private:
    bool storesItself() const;
    void wake();
    void sendTo(const VmId &storer);
    void onAppended(BegunStreams sent, bool done);

    VmId vm;
    OriginStorePorts ports;
    BegunStreams waiting;
    bool appending = false;
    bool awake = false; ///< flush() is scheduled
};

} // namespace lacewing
