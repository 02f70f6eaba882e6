// The HTTP server that operators, metrics collectors and health checks talk to. It runs in a thread of its
// own and asks the runtime through OperatorBackend.
//
//   OperatorFace face(options, metrics, backend);
//   if (std::error_code error = face.start()) …
//   face.stop();

#pragma once

#include <cstddef>
#include <memory>
#include <system_error>

#include "hostport.h"
#include "operatorapi.h"
#include "sizes.h"
#include "types.h"

namespace lacewing {

struct OperatorFaceOptions {
    HostPort address;
    OperatorApiOptions api;
    std::size_t bodyLimit = 4 * mebibyte; ///< headers are limited to 4096 bytes by cxxtools
    Duration readTimeout = milliseconds(5000);
    Duration idleTimeout = milliseconds(30'000);
    unsigned mostThreads = 16;
};

class OperatorServer;

class OperatorFace
{
public:
    /// @param wanted address, token and limits
    /// @param shownMetrics must outlive the face
    /// @param askedBackend must outlive the face
    OperatorFace(OperatorFaceOptions wanted, const Metrics &shownMetrics, OperatorBackend &askedBackend);
    ~OperatorFace();
    OperatorFace(const OperatorFace &) = delete;
    OperatorFace &operator=(const OperatorFace &) = delete;

    /// Listens and serves from now on.
    /// @return why it could not listen, or no error
    std::error_code start();

    /// Stops serving and waits for the thread. Called by the destructor too.
    void stop();

private:
    OperatorFaceOptions options;
    const Metrics &metrics;
    OperatorBackend &backend;
    std::unique_ptr<OperatorServer> server;
};

} // namespace lacewing
