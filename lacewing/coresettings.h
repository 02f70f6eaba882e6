// What one VM knows of itself, and the limits and time spans of the decisions. Filled from the
// daemon's settings (settings.h), constant while it runs.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

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
    Duration checkpointInterval = milliseconds(900000);
    Duration keyLifetime = milliseconds(600000);

    std::size_t openRequestLimit = 4096;
    std::size_t queueLimit = 512; ///< per endpoint
    double retryShare = 0.1; ///< retries allowed as a share of first attempts
    std::int32_t mostAttempts = 6;

    Duration loadEstimate = milliseconds(400); ///< until loads have been measured
};

} // namespace lacewing
