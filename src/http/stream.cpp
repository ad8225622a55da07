#include "tillerhall/http/stream.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"

#include <algorithm>
#include <boost/beast/core/error.hpp>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace tillerhall
{

namespace
{

using boost::asio::ip::tcp;

// No event reports that sent data has been acknowledged.
constexpr milliseconds acknowledged_poll_interval(2);

/** Binds the local address; the port is chosen at connect. */
void bind_source(tcp_stream& stream,
                 const std::string& from_ip,
                 boost::system::error_code& failed)
{
    const auto ip = boost::asio::ip::make_address(from_ip, failed);
    if (failed)
        return;
    const tcp::endpoint own(ip, 0);
    auto& socket = stream.socket();
    socket.open(own.protocol(), failed);
    const int on = 1;
    ::setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT,
                 &on, sizeof on);
    if (!failed)
        socket.bind(own, failed);
}

/** @return the error that a read would give; none if there is data. */
boost::system::error_code peek(tcp_stream& stream)
{
    auto& socket = stream.socket();
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1),
                   boost::asio::socket_base::message_peek, failed);
    return failed;
}

/** @return whether the connection has been reset, also if another call on the
 * socket has taken the error. */
bool is_reset(tcp_stream& stream)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO,
                        &info, &size) == 0 &&
           info.tcpi_state == TCP_CLOSE;
}

bool has_unacknowledged_data(tcp_stream& stream)
{
    int bytes = 0;
    return ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0 &&
           bytes > 0;
}

} // namespace

result<std::unique_ptr<tcp_stream>> connect_stream(boost::asio::io_context& io,
                                                   const address& to,
                                                   duration timeout,
                                                   const std::string& from_ip)
{
    boost::system::error_code failed;
    return connect_stream(io, to, timeout, from_ip, failed);
}

result<std::unique_ptr<tcp_stream>>
connect_stream(boost::asio::io_context& io,
               const address& to,
               duration timeout,
               const std::string& from_ip,
               boost::system::error_code& failed)
{
    const auto ip = boost::asio::ip::make_address(to.ip, failed);
    if (failed)
        return error(error_code::invalid_argument,
                     "\"" + to.ip + "\" is not an IP number");
    auto stream = std::make_unique<tcp_stream>(io);
    if (!from_ip.empty())
        bind_source(*stream, from_ip, failed);
    stream->expires_after(timeout);
    if (!failed)
        stream->async_connect(boost::asio::ip::tcp::endpoint(ip, to.port),
                              await{failed});
    if (failed)
        return error(error_code::connection_failed,
                     "no connection to " + to.text() + ": " + failed.message());
    boost::system::error_code ignored;
    stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    return stream;
}

void set_user_timeout(tcp_stream& stream, duration limit)
{
    const auto socket = stream.socket().native_handle();
    const auto limit_ms = static_cast<unsigned>(to_ms(limit));
    const int on = 1;
    const int probe_s = 1; // the minimum of the kernel
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
                 sizeof limit_ms);
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof probe_s);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof probe_s);
}

bool is_reusable(tcp_stream& stream)
{
    return stream.socket().is_open() &&
           peek(stream) == boost::asio::error::would_block;
}

bool peer_has_closed(tcp_stream& stream)
{
    const auto failed = peek(stream);
    return failed && failed != boost::asio::error::would_block;
}

boost::system::error_code await_clean_end(tcp_stream& stream,
                                          time_point deadline)
{
    while (stream.socket().is_open())
    {
        const bool is_acknowledged = !has_unacknowledged_data(stream);
        if (is_reset(stream))
            break;
        if (is_acknowledged)
            return {};
        const auto left = deadline - steady_clock::now();
        if (left <= duration::zero())
            return boost::beast::error::timeout;
        sleep_for(stream.get_executor().context(),
                  std::min<duration>(left, acknowledged_poll_interval));
    }
    return boost::asio::error::connection_reset;
}

void reset_stream(tcp_stream& stream)
{
    boost::system::error_code ignored;
    auto& socket = stream.socket();
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

error stream_error(const boost::system::error_code& failed,
                   const std::string& what,
                   const address& peer)
{
    const auto code = failed == boost::beast::error::timeout
                          ? error_code::timed_out
                          : error_code::connection_lost;
    return error(code, what + " " + peer.text() + ": " + failed.message());
}

} // namespace tillerhall
