// A tiny engine for tests of the runtime: answers with what the test has set, on
// threads of its own. Every token is " POSITION".

#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace lacewing {

class FakeEngine
{
public:
    FakeEngine();
    ~FakeEngine();
    FakeEngine(const FakeEngine &) = delete;
    FakeEngine &operator=(const FakeEngine &) = delete;

    /// @return "127.0.0.1:PORT"
    std::string address() const;

    std::atomic<int> tokens {3}; ///< of a whole answer, unless the request is for a service
    std::atomic<int> breakAfter {-1}; ///< close the connection after that many tokens, once
    std::atomic<bool> breakEachTime {false}; ///< close the connection after each first token
    std::atomic<int> refuseStatus {0}; ///< answer with this status and refuseCode
    std::atomic<bool> hang {false}; ///< send the head, then nothing until the other side closes
    std::atomic<int> requests {0};
    std::atomic<int> closedEarly {0}; ///< connections that were closed while hanging
    std::string serviceAnswer; ///< bytes of each answer of a service, behind which the connection is closed; set before
                               ///< the first request; empty: the request is echoed
    std::string refuseCode = "not_loaded"; ///< set before the first request

private:
    void serve();
    void serveConnection(boost::asio::ip::tcp::socket &socket);
    bool answerModel(boost::asio::ip::tcp::socket &socket, const std::string &body);

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopping {false};
    std::vector<std::thread> connections; ///< used by thread, then by the destructor
    std::thread thread;
};

} // namespace lacewing
