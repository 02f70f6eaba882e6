// What one VM knows of itself, and the limits and time spans of the decisions. Filled from the
// daemon's settings (settings.h), constant while it runs.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "safetyrules.h"
#include "types.h"

namespace lacewing {

struct CoreSettings {
    VmId vm; ///< name of this VM on the platform's VM list
    std::int64_t incarnation = 0; ///< differs at each start of the process
    ZoneName zone;
    std::string peerAddress; ///< as the VM list should show it; empty: unknown

    Duration heartbeatInterval = milliseconds(500);
    Duration heartbeatTimeout = milliseconds(2000);
    Duration vmListLag = milliseconds(10000); ///< longest the VM list may lag behind the truth
    Duration leavingGrace = milliseconds(2000);

    Duration appendTimeout = milliseconds(2000);
    Duration logReadTimeout = milliseconds(10000); ///< a read of the log not answered by then is asked again
    Duration logRetryDelay = milliseconds(500); ///< after a failed read
    Duration checkpointInterval = milliseconds(7200000);
    Duration keyLifetime = milliseconds(600000);
    Duration keyAskInterval = milliseconds(250); ///< between repeats of a question about a key
    Duration keyAskTimeout = milliseconds(5000); ///< then the VM that knows the key counts as gone
    Duration keyGroupInterval = milliseconds(5); ///< at least this long between appends of key claims
    double keyAppendRate = 200; ///< appends of key claims a second, of all VMs together
    std::string keySecret; ///< signs minted keys; the same on all VMs
    std::size_t keyLimit = 200000; ///< keys remembered, of each kind

    std::size_t openRequestLimit = 4096;
    std::size_t queueLimit = 512; ///< per endpoint
    double retryShare = 0.1; ///< retries allowed as a share of first attempts
    double retryFloor = 20; ///< retries a second allowed however little traffic there is
    double retryBurst = 200; ///< retries that may be saved up
    double retryAtStart = 200; ///< retries that are saved up when the process starts
    std::int32_t mostAttempts = 6; ///< in a row without progress
    Duration retryBackoff = milliseconds(20); ///< before the second attempt; doubles up to retryBackoffLimit
    Duration retryBackoffLimit = milliseconds(1000);
    Duration routeWait = milliseconds(10000); ///< how long a request waits for any endpoint
    Duration offerTimeout = milliseconds(2000); ///< for the owner to take or refuse an offer
    Duration silenceTimeout = milliseconds(10000); ///< between two pieces of an answer
    Duration deadlineMargin = milliseconds(30); ///< owners give up this much earlier, so that their proof arrives

    Duration loadEstimate = milliseconds(400); ///< until loads have been measured

    SafetyRules rules; ///< all on, but for the check of the checker
};

} // namespace lacewing
