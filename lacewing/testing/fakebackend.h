// An OperatorBackend for tests: a real configuration, replayed as on the log, without a runtime round it.

#pragma once

#include <future>
#include <memory>
#include <mutex>

#include "blackboard.h"
#include "configreplay.h"
#include "fakehttpserver.h"
#include "operatorbackend.h"
#include "operatorface.h"

namespace lacewing {

class FakeBackend : public OperatorBackend
{
public:
    std::future<ChangeAnswer> submitChange(wire::ConfigRecord change) override
    {
        const std::scoped_lock lock(this->mutex);
        std::promise<ChangeAnswer> promise;
        std::future<ChangeAnswer> answer = promise.get_future();
        const ReplayVerdict verdict
            = this->applies ? applyConfigRecord(this->blackboard.config, 0, "nonce", change) : ReplayVerdict {};
        if (this->answers) {
            promise.set_value({verdict.code, this->blackboard.config.revision, verdict.reason});
        }
        return answer; // without a value its promise breaks, as when the runtime ends
    }

    std::future<std::string> inspect(Inspection inspection) override
    {
        const std::scoped_lock lock(this->mutex);
        std::promise<std::string> promise;
        std::future<std::string> answer = promise.get_future();
        if (this->answers || this->inspects) {
            promise.set_value(inspection(this->blackboard, TimePoint {}));
        }
        return answer;
    }

    std::mutex mutex;
    Blackboard blackboard;
    bool applies = true; ///< whether a submitted change reaches the configuration
    bool answers = true;
    bool inspects = true;
};

/// Starts a face on a free port. Another process may take the port between finding and binding it, so it is
/// looked for anew then.
/// @param options their address is set
/// @param metrics must outlive the face
/// @param backend must outlive the face
/// @return the face, serving; null if no port could be had
inline std::unique_ptr<OperatorFace> startFace(OperatorFaceOptions &options, const Metrics &metrics,
                                               OperatorBackend &backend)
{
    constexpr int mostTries = 50;
    for (int tries = 0; tries < mostTries; ++tries) {
        options.address = freeAddress();
        auto face = std::make_unique<OperatorFace>(options, metrics, backend);
        if (!face->start()) {
            return face;
        }
    }
    return nullptr;
}

} // namespace lacewing
