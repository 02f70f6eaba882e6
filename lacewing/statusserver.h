// Serves status queries about this process over HTTP: readiness for the load balancer, and metrics.

#pragma once

#include "netaddress.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace lacewing {

class CallerConnection;

struct StatusAnswer {
    int status = 200;
    std::string text;
};

class StatusServer
{
public:
    /// @param ioContext event loop; outlives the server
    /// @param answerTo returns the answer to a GET of a path
    StatusServer(asio::io_context &ioContext, std::function<StatusAnswer(std::string_view path)> answerTo);
    ~StatusServer();

    /// @param address numeric host:port
    /// @return error, if any
    NetError listen(std::string_view address);
    void close();

private:
    void accept();
    void add(Tcp::socket socket);

    Tcp::acceptor acceptor;
    std::function<StatusAnswer(std::string_view)> answer;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections;
};

} // namespace lacewing
