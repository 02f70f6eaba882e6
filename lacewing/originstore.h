// Stores on the platform which software version began each stream of this VM, for the VMs that start after all have
// ended.
//
//   OriginStore store(ports);
//   store.add(key, version, life);   // when the first bytes of a stream have arrived, while several versions serve
//   ...
//   if (const auto records = decodeOrigins(read)) ...   // at a VM that starts
//
// Load pattern: during a release, each VM begins some ten streams a second for a minute. All VMs may be killed at the
// same time, and most of their streams are resumed within a second after the first VM is back. Records of one interval
// are stored with one call; a stream that began within the last interval is not known afterwards.
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

/// Interval between two calls of a VM. The streams of a shorter one are few compared with those in progress.
constexpr Duration minOriginInterval = milliseconds(500);
/// Calls that all VMs together make in a second: a small part of what the log service carries.
constexpr std::size_t originCallsPerSecond = 100;
/// Streams in one call, of some 14 bytes each.
constexpr std::size_t maxOriginsInCall = 4096;

/// @param vms in use
/// @return interval between two calls of each VM
Duration originInterval(std::size_t vms);

/// A stream that has begun.
struct BegunStream {
    std::string softwareVersion;
    Duration life {0}; ///< for which it may be resumed
};

/// @param streams by key
/// @return the record that is stored
std::string encodeOrigins(const std::map<StreamKey, BegunStream> &streams);

/// @param record as stored, by any writer
/// @return its streams; nothing: it can't be read
std::optional<wire::OriginRecords> decodeOrigins(std::string_view record);

struct OriginStorePorts {
    /// Stores a record; the callback is called once, with whether that is certain.
    std::function<void(std::string record, std::function<void(bool)>)> append;
    std::function<void(Duration)> wakeAfter; ///< flush() is to be called after this time
    std::function<std::size_t()> vmsInUse;
};

class OriginStore
{
public:
    /// @param storePorts what carries out what is decided here
    explicit OriginStore(OriginStorePorts storePorts);

    /// Stores a stream with the next call.
    /// @param key of the stream
    /// @param softwareVersion that began it
    /// @param life for which it may be resumed
    void add(StreamKey key, std::string_view softwareVersion, Duration life);
    /// Stores what waits, unless a call is in progress.
    void flush();

    std::int64_t stored = 0; ///< streams since the start
    std::int64_t dropped = 0; ///< streams since the start, because too many were waiting

private:
    void wake();
    void onAppended(std::map<StreamKey, BegunStream> sent, bool done);

    OriginStorePorts ports;
    std::map<StreamKey, BegunStream> waiting;
    bool appending = false;
    bool awake = false; ///< flush() is scheduled
};

} // namespace lacewing
