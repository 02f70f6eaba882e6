// Compares ways for VMs to know at which software version a stream began, on simulated time with fixed seeds.
//
//   OriginWayResult result = simulateOriginWay(deployment, way, OriginTrouble::VmKilled, load, 1);
//
// Modelled: who holds a copy of which record, who is asked, what is sent. Not modelled: endpoints, queues, processor
// time, and VMs whose views differ (one view with a delay for all).

#pragma once

#include <cstdint>
#include <string>

namespace lacewing::bench {

/// VMs and streams of a deployment.
struct OriginDeployment {
    std::string name;
    int zones = 1;
    int vms = 1; ///< in all zones
    double startsPerSecond = 0; ///< streams that begin, in all zones
    double longestLife = 20; ///< of a stream, seconds
};

enum class OriginMechanism {
    HashedHolders, ///< holders of a record by rendezvous hash of its key over the VMs of the zone
    RecorderHolders, ///< holders by rendezvous hash of the recording VM's name: the same ones for all of its records
    ZoneTold, ///< all VMs of the zone
    Derived, ///< version derived from the key; hashed holders have the exceptions
    Store ///< the platform's store
};

/// One way with its parameters.
struct OriginWay {
    OriginMechanism mechanism = OriginMechanism::HashedHolders;
    int holders = 2; ///< beside the recording VM
    bool handOver = true; ///< a VM that stops passes its records on
    bool farHolder = false; ///< one more holder in another zone, which is chosen by a hash of the key
    bool asksAllZones = true; ///< where neither the own zone nor the far holders know it
    bool storesAtStop = false; ///< a VM that stops writes its records to the store, which is asked last
    double window = 0.010; ///< for which records are collected into one datagram, seconds
    double exceptions = 0.5; ///< Derived: share of streams that begin at another version than the derived one
};

enum class OriginTrouble {
    None,
    VmKilled,
    RollingStop, ///< orderly, VM after VM in random order, 0.28 s apart, each away for 5 s
    RollingStopByZone, ///< the same, zone after zone
    MostKilled, ///< 55 % of the VMs at once, away for 5 s
    ZoneCutOff ///< for 10 s from the other zones; its streams are taken up in those
};

/// What is simulated besides the trouble.
struct OriginLoad {
    double startsShare = 1; ///< of the deployment's streams that are simulated
    double breakShare = 0.01; ///< of the streams break without a VM being lost
    double datagramLoss = 0;
    double otherZoneShare = 0.2; ///< of resumptions come to another zone while the own one has VMs
};

/// What was seen. Bytes include heads of datagrams and of IP and UDP.
struct OriginWayResult {
    std::int64_t streams = 0;
    std::int64_t resumptions = 0;
    std::int64_t known = 0;
    std::int64_t wrong = 0; ///< went on at a version that the stream did not begin at
    std::int64_t unknownButOneDenied = 0; ///< unknown, and a VM that has run from the beginning has no record
    std::int64_t unknownAndAllDenied = 0; ///< unknown, and all that were asked, two at least, are such VMs without it
    double asksPerResumption = 0;
    double recordBytesPerVm = 0; ///< a second, mean of the VMs
    double askBytesPerVm = 0; ///< with the answers
    double datagramsPerVm = 0; ///< a second
    double peakBytesPerVm = 0; ///< asks, answers and hand-over in the worst second, scaled to all streams
    double entriesPerVm = 0; ///< records that a VM holds
    double storeAppends = 0; ///< a second, of all VMs
    double storeReads = 0; ///< a second, of all VMs
    double storeBytes = 0; ///< a second, appended by all VMs
};

/// @param deployment VMs and streams
/// @param way to know the versions
/// @param trouble that happens once streams have run for a while
/// @param load share of the streams and loss
/// @param seed of all draws
OriginWayResult simulateOriginWay(const OriginDeployment &deployment, const OriginWay &way, OriginTrouble trouble,
                                  const OriginLoad &load, std::uint64_t seed);

} // namespace lacewing::bench
