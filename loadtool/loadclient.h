// Sends requests to caller faces and checks every byte of what comes back.

#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include "loadresult.h"
#include "loadsettings.h"

namespace loadtool {

class AnswerCheck;

/// Runs the requests of one tool run on one io_context.
class LoadClient
{
public:
    /// @param io runs the clients
    /// @param wanted what to send
    LoadClient(boost::asio::io_context &io, LoadSettings wanted);

    /// Starts the clients; the result is complete when the io_context has run out of work.
    void start();

    /// @return what was seen so far
    const LoadResult &result() const;

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// How one try of a request ended.
    enum class Verdict {
        Done,
        Again, ///< refused as not run; may be sent again
    };

    /// One try of a request.
    struct Try {
        int number = 0;
        std::string id;
        std::string adapter;
        std::string address;
        bool abort = false;
        bool last = false;
        std::chrono::steady_clock::time_point sent;
    };

    boost::asio::awaitable<void> runClient(int number);
    boost::asio::awaitable<void> runRequest(int number);
    boost::asio::awaitable<Verdict> tryRequest(const Try &one);
    boost::asio::awaitable<Verdict> readAnswer(boost::beast::tcp_stream &connection, const Try &one);
    boost::asio::awaitable<Verdict> readStream(boost::beast::tcp_stream &connection, boost::beast::flat_buffer &buffer,
                                               Parser &parser, const Try &one);

    Request makeCompletion(const Try &one) const;
    Request makeServiceCall(const Try &one) const;
    Verdict judgeWhole(unsigned status, const std::string &body, const Try &one);
    Verdict judgeError(const nlohmann::json &body, unsigned status, const Try &one);
    bool acceptEvent(std::string_view data, AnswerCheck &check, const Try &one, bool &ended);
    void noteFault(long &counter, const Try &one, std::string_view what);
    void noteTimes(const Try &one, std::chrono::steady_clock::time_point first, std::int64_t tokens);
    std::string classFor(int number) const;

    boost::asio::io_context &context;
    LoadSettings settings;
    LoadResult seen;
    int nextRequest = 0;
    std::mt19937_64 random {1};
    std::string runName;
};

} // namespace loadtool
