// A small HTTP server for tests: answers from a function, or breaks the connection after it has read the
// whole request.

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
    /// @param request as read
    /// @return the reply; nothing: the connection is closed without one
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

/// @return a loopback address whose port was free just now
HostPort freeAddress();

} // namespace lacewing
