// Dead connections are detected by the kernel's keepalive and user timeout, so no heartbeat message is needed to notice
// that a VM is gone.

#include "netaddress.h"

#include <array>
#include <charconv>
#include <cstdint>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace lacewing {

namespace {

constexpr int keepaliveIdleSeconds = 2;
constexpr int keepaliveIntervalSeconds = 1;
constexpr int keepaliveProbes = 3;
constexpr int userTimeoutMilliseconds = 5000;

template<int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Reads one byte without consuming it.
/// @return result of recv()
ssize_t peek(Tcp::socket &socket)
{
    std::array<char, 1> byte {};
    return ::recv(socket.native_handle(), byte.data(), byte.size(), MSG_PEEK | MSG_DONTWAIT);
}

} // namespace

std::optional<Tcp::endpoint> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, portError] = std::from_chars(text.data() + colon + 1, end, port);
    NetError error;
    const auto address = asio::ip::make_address(std::string(host), error);
    if (error || portError != std::errc {} || rest != end) {
        return std::nullopt;
    }
    return Tcp::endpoint(address, port);
}

std::string toString(const Tcp::endpoint &address)
{
    const std::string host = address.address().to_string();
    const std::string port = std::to_string(address.port());
    return address.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

void tuneSocket(Tcp::socket &socket)
{
    NetError ignored; // if the socket was just closed, its next use fails
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(Tcp::socket::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(keepaliveIdleSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(keepaliveIntervalSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(keepaliveProbes), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(userTimeoutMilliseconds), ignored);
}

void setResetOnClose(Tcp::socket &socket, bool reset)
{
    // Not set through Asio, whose sockets drop the option when they are destroyed.
    const linger option {reset ? 1 : 0, 0};
    // Fails only for a socket that is no longer connected, which can't be ended in any other way.
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

NetError listenOn(Tcp::acceptor &acceptor, std::string_view address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return asio::error::invalid_argument;
    }
    NetError error;
    acceptor.open(endpoint->protocol(), error);
    if (!error) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(*endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

std::vector<Tcp::socket> closeListener(Tcp::acceptor &acceptor)
{
    std::vector<Tcp::socket> waiting;
    NetError error;
    acceptor.cancel(error); // ends the pending accept; has no effect if the acceptor is closed
    acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, error);
        if (!error) {
            waiting.push_back(std::move(socket));
        }
    }
    acceptor.close(error);
    return waiting;
}

bool closedByPeer(Tcp::socket &socket)
{
    const ssize_t size = peek(socket);
    const bool noDataYet = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return size <= 0 && !noDataYet;
}

bool wasReset(Tcp::socket &socket)
{
    pollfd state {socket.native_handle(), 0, 0};
    return ::poll(&state, 1, 0) < 0 || (state.revents & (POLLHUP | POLLERR | POLLNVAL)) != 0;
}

Duration timeSinceInput(Tcp::socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return Duration {0};
    }
    return milliseconds(info.tcpi_last_data_recv);
}

bool hasUnreadData(Tcp::socket &socket)
{
    return peek(socket) > 0;
}

} // namespace lacewing
