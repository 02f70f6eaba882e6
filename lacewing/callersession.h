// One connection of a caller: reads requests, hands them to the runtime and writes the answers. One
// request is answered at a time; further ones that the caller has already sent wait in the socket.

#pragma once

#include "netaddress.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "action.h"
#include "answerstream.h"
#include "calleradmission.h"
#include "callerrequest.h"

namespace lacewing {

namespace beast = boost::beast;
namespace http = boost::beast::http;

class CallerFace;

class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /// @param socket connected to the caller
    /// @param callerFace whose limits hold
    CallerSession(Tcp::socket socket, CallerFace &callerFace);

    /// Starts serving.
    void start();
    /// Ends the connection once its caller may no longer reuse it.
    void closeWhenIdle();
    /// Closes the connection.
    void close();

private:
    using Request = http::request<http::string_body>;
    using RequestParser = http::request_parser<http::string_body>;

    // What is awaited takes no temporary that needs a destructor: GCC 12 gets those wrong in coroutines.

    // reading (callersession.cpp)
    asio::awaitable<void> run(std::shared_ptr<CallerSession> self);
    asio::awaitable<bool> serveOne();
    asio::awaitable<bool> waitForRequest();
    asio::awaitable<bool> readRequest(RequestParser &parser);
    asio::awaitable<bool> confirmContinue(const RequestParser &parser);
    asio::awaitable<bool> refuseUnreadable();
    asio::awaitable<void> drain();

    // answering (calleranswer.cpp), writing (callerwrite.cpp)
    asio::awaitable<bool> dispatch(Request &request);
    asio::awaitable<bool> answerModel(Request &request, ModelApi api, RequestArrived &arrival);
    asio::awaitable<bool> answerService(Request &request, RequestArrived &arrival);
    asio::awaitable<bool> answerModels(const MemberName &member);
    asio::awaitable<bool> answerKey(const MemberName &member);
    asio::awaitable<bool> relay(RequestArrived &arrival, wire::HttpHead &head, std::string &body,
                                const std::shared_ptr<AnswerStream> &answer);
    asio::awaitable<bool> relayOpen(const RequestId &id, AnswerStream &answer);
    asio::awaitable<bool> relayEnd(AnswerStream &answer);
    asio::awaitable<void> waitForAnswer(const AnswerStream &answer);
    asio::awaitable<bool> writeOutput(AnswerStream &answer);
    asio::awaitable<bool> writeHead(const AnswerStream &answer);
    asio::awaitable<bool> writeChunk(std::string_view bytes);
    asio::awaitable<bool> writeAnswerEnd();
    asio::awaitable<bool> writeWhole(unsigned status, std::string &body, Duration retryAfter);
    asio::awaitable<bool> refuse(ResultCode code, std::string_view detail);
    asio::awaitable<bool> writeFailure(const FinishRequest &end);
    http::response<http::empty_body> eventStreamHead();
    http::response<http::empty_body> serviceHead(const wire::HttpHead &head);
    bool mayKeepAlive() const;
    void stateReuseTime(http::fields &headers) const;
    RequestArrived newArrival() const;
    CallerRefusal readHeaders(const Request &request, bool repeatable, RequestArrived &arrival) const;
    wire::HttpHead newHead(const Request &request) const;
    void watchForClose();
    void startReadTimer(Duration limit);
    void stopReadTimer();

    CallerFace &face;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    asio::steady_timer wakeTimer; ///< cancelled when there is something to do
    asio::steady_timer readTimer;
    NetError error; ///< of the last operation
    std::string requestId; ///< that the caller knows the current request by
    unsigned httpVersion = 11; ///< of the current request
    std::size_t served = 0; ///< requests so far
    bool keepAlive = true; ///< as the caller was told, once the head of an answer is out
    bool headRequest = false; ///< the current request's method is HEAD
    bool chunked = false; ///< the current answer is sent in chunks
    bool noBody = false; ///< the current answer may have none
    bool closeDelimited = false; ///< only the close of the connection ends the answer
    bool eventStream = false; ///< the current answer is a stream of events
    bool headSent = false;
    bool idle = false; ///< waiting for the next request
    bool watching = false; ///< for the caller to close the connection
    bool timedOut = false; ///< the current read took too long
    std::uint64_t readNumber = 0; ///< tells an old read timer from the present one
    bool gone = false; ///< the caller closed the connection
};

} // namespace lacewing
