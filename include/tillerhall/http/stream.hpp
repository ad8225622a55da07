/** @file The TCP stream type, and functions on such streams. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <memory>

namespace tillerhall
{

/** A TCP stream of one worker, with a deadline for its operations. */
using tcp_stream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::io_context::executor_type>;

/**
 * @param from_ip local IP address to connect from; empty lets the system choose
 * @return an open stream to @p to, or the error.
 */
result<std::unique_ptr<tcp_stream>>
connect_stream(boost::asio::io_context& io,
               const address& to,
               duration timeout,
               const std::string& from_ip = {});

/** As above; sets @p failed to the error code of the connect. */
result<std::unique_ptr<tcp_stream>>
connect_stream(boost::asio::io_context& io,
               const address& to,
               duration timeout,
               const std::string& from_ip,
               boost::system::error_code& failed);

/**
 * Makes @p stream fail when sent data is not acknowledged within @p limit, and
 * turns on TCP keepalive, since a host that is lost does not close its
 * connections.
 */
void set_user_timeout(tcp_stream& stream, duration limit);

/**
 * @return true if the idle @p stream can carry another exchange: the peer has
 * neither closed it nor sent unrequested data.
 */
bool is_reusable(tcp_stream& stream);

/** @return true if the peer has closed; false while there is unread data. */
bool peer_has_closed(tcp_stream& stream);

/**
 * To be called after an end of file on @p stream that ends a message, once
 * nothing is being written any more. The end of file alone does not show that
 * the message is whole: a write that meets a reset takes its error, so that the
 * next read gets an end of file, and a process that crashes closes its
 * connections and resets them on what arrives later. Waits until the peer has
 * acknowledged all that was sent, at most until @p deadline.
 * @return no error if the peer has received all that was sent and not reset the
 * connection; `timeout` at @p deadline, otherwise `connection_reset`
 */
boost::system::error_code await_clean_end(tcp_stream& stream,
                                          time_point deadline);

/** Closes @p stream at once. Bytes that were written but not yet sent are
 * discarded, so that the peer does not get the rest of a request that nobody
 * waits for. */
void reset_stream(tcp_stream& stream);

/** @return the error for a failed operation on a stream to @p peer.
 * @param what start of its detail, before the address */
error stream_error(const boost::system::error_code& failed,
                   const std::string& what,
                   const address& peer);

} // namespace tillerhall
