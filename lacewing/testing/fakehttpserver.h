// Minimal HTTP server for tests. A handler function returns the reply, or nothing to close the connection after the
// complete request was read.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "hostport.h"

namespace lacewing {

struct FakeRequest {
    std::string target; ///< "POST /log"
    std::string body;
};

struct FakeReply {
    int status = 200;
    std::string body;
};

class FakeHttpServer
{
public:
    /// @param request complete request
    /// @return the reply; nothing: the connection is closed without a reply
    using Handler = std::function<std::optional<FakeReply>(const FakeRequest &request)>;

    explicit FakeHttpServer(Handler answerFunction);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer &) = delete;
    FakeHttpServer &operator=(const FakeHttpServer &) = delete;

    HostPort address() const;

private:
    struct Listener;

    void run();

    Handler handler;
    std::unique_ptr<Listener> listener;
    std::thread thread;
};

/// @return a loopback address with a port that was free at the time of the call
HostPort freeAddress();

} // namespace lacewing
