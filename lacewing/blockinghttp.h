// A blocking HTTP request over cxxtools with what its own blocking calls lack: one deadline for the whole
// exchange, a limit on the answer's body, and a flag that ends it at once.
//
//   BlockingHttpClient client(server);
//   BlockingHttpRequest request;
//   request.target = "/vms";
//   BlockingHttpAnswer answer;
//   if (std::error_code error = client.exchange(request, answer)) …
//
// One BlockingHttpClient belongs to one thread. The connection is kept between requests.

#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "hostport.h"
#include "sizes.h"
#include "types.h"

namespace lacewing {

struct BlockingHttpRequest {
    std::string method = "GET";
    std::string target = "/"; ///< path with query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration timeout = milliseconds(5000);
    std::size_t answerLimit = 32 * mebibyte;
};

struct BlockingHttpAnswer {
    int status = 0;
    std::string body;
    bool sent = false; ///< the server may have acted on the request even if the exchange failed
};

class BlockingHttpExchange;

class BlockingHttpClient
{
public:
    /// @param address where to connect
    /// @param stopFlag ends a running exchange when it becomes true; may be null
    explicit BlockingHttpClient(HostPort address, const std::atomic<bool> *stopFlag = nullptr);
    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient &) = delete;
    BlockingHttpClient &operator=(const BlockingHttpClient &) = delete;

    /// @param request what to send
    /// @param answer filled as far as it was read
    /// @return no error, or PeerUnreachable, RequestTimeout, LimitExceeded or StreamBroken
    std::error_code exchange(const BlockingHttpRequest &request, BlockingHttpAnswer &answer);

private:
    HostPort server;
    const std::atomic<bool> *stopped;
    std::unique_ptr<BlockingHttpExchange> exchangeState; ///< null after a failure: the next request connects anew
};

} // namespace lacewing
