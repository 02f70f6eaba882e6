// Asio as this project uses it, and addresses in the form "127.0.0.1:4000" or "[::1]:4000".

#pragma once

// Boost 1.74 needs <utility> before its coroutine headers.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

namespace asio = boost::asio;
using NetError = boost::system::error_code;
using Tcp = asio::ip::tcp;

/// The token that makes an asynchronous operation awaitable and report its error.
/// @param error set when the operation ends
/// @return completion token
inline auto awaitInto(NetError &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// @param text numeric address and port
/// @return the address, or nothing if the text has not that form
std::optional<Tcp::endpoint> parseAddress(std::string_view text);

/// @param address numeric address and port
/// @return its text form
std::string toString(const Tcp::endpoint &address);

/// Settings for each TCP connection: no delay for small writes, and a dead other side noticed within
/// seconds also while nothing is sent.
/// @param socket a connected socket
void tuneSocket(Tcp::socket &socket);

/// Opens a listening socket.
/// @param acceptor opened on success
/// @param address numeric address and port
/// @return what failed, if anything
NetError listenOn(Tcp::acceptor &acceptor, std::string_view address);

/// Closes a listening socket. Connections that wait there to be accepted are taken first, as closing resets them.
/// @param acceptor listening or closed
/// @return the connections that waited
std::vector<Tcp::socket> closeListener(Tcp::acceptor &acceptor);

/// Looks at a connection without taking data from it.
/// @param socket a connected socket, in non-blocking mode or not
/// @return whether the other side has closed it or it is broken
bool closedByOther(Tcp::socket &socket);

/// Looks at a connection without taking data from it.
/// @param socket a connected socket, in non-blocking mode or not
/// @return whether bytes have arrived that are not read yet
bool hasUnread(Tcp::socket &socket);

} // namespace lacewing
