// Common Asio includes and TCP socket helpers, and addresses in the form "127.0.0.1:4000" or "[::1]:4000".

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

#include "types.h"

namespace lacewing {

namespace asio = boost::asio;
using NetError = boost::system::error_code;
using Tcp = asio::ip::tcp;

/// Makes an asynchronous operation awaitable and stores its error instead of throwing it.
/// @param error set when the operation ends
/// @return completion token
inline auto awaitInto(NetError &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// @param text numeric address and port
/// @return the address, or nothing if the text is malformed
std::optional<Tcp::endpoint> parseAddress(std::string_view text);

/// @param address numeric address and port
/// @return its text form
std::string toString(const Tcp::endpoint &address);

/// Sets the options of a TCP connection: small writes are sent without delay, and a dead peer is detected within
/// seconds even on an idle connection.
/// @param socket a connected socket
void tuneSocket(Tcp::socket &socket);

/// Selects how the close of a connection ends it, also if the process ends first.
/// @param socket a connected socket
/// @param reset whether the connection is reset; unsent data is then lost
void setResetOnClose(Tcp::socket &socket, bool reset);

/// Opens a listening socket.
/// @param acceptor opened on success
/// @param address numeric address and port
/// @return what failed, if anything
NetError listenOn(Tcp::acceptor &acceptor, std::string_view address);

/// Closes a listening socket. Connections in its backlog are accepted first, because closing would reset them.
/// @param acceptor listening or closed
/// @return the accepted connections
std::vector<Tcp::socket> closeListener(Tcp::acceptor &acceptor);

/// Checks a connection without consuming data.
/// @param socket a connected socket, in non-blocking mode or not
/// @return whether the peer has closed the connection or it is broken
bool closedByPeer(Tcp::socket &socket);

/// Checks a connection whose end was read. The system reports a reset once, to whatever call comes first; a read behind
/// a write that got it sees an orderly end.
/// @param socket a socket that was connected
/// @return whether the connection was reset or has failed, and not just been closed by the peer
bool wasReset(Tcp::socket &socket);

/// @param socket a connected socket
/// @return time since the system received the last bytes, whether they have been read or not; 0: not known
Duration timeSinceInput(Tcp::socket &socket);

/// Checks a connection without consuming data.
/// @param socket a connected socket, in non-blocking mode or not
/// @return whether received bytes have not been read yet
bool hasUnreadData(Tcp::socket &socket);

} // namespace lacewing
