/** @file The TCP stream type of the library and how one is opened. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <memory>

namespace tillerhall
{

/** A TCP stream with a deadline for each operation, on one worker. */
using tcp_stream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::io_context::executor_type>;

/**
 * @param from_ip own IP number to connect from; empty lets the system choose
 * @return an open stream to @p to, or why there is none.
 */
result<std::unique_ptr<tcp_stream>>
connect_stream(boost::asio::io_context& io,
               const address& to,
               duration timeout,
               const std::string& from_ip = {});

/** The same; @p failed tells how the connecting ended. */
result<std::unique_ptr<tcp_stream>>
connect_stream(boost::asio::io_context& io,
               const address& to,
               duration timeout,
               const std::string& from_ip,
               boost::system::error_code& failed);

/**
 * Ends @p stream when what was sent is not acknowledged within @p limit, and
 * probes it while it is idle: a host that went away says nothing.
 */
void set_user_timeout(tcp_stream& stream, duration limit);

/**
 * @return whether the idle @p stream may carry another exchange: the other
 * side has neither closed it nor sent anything nobody asked for.
 */
bool is_reusable(tcp_stream& stream);

/** @return whether the other side has closed; bytes waiting mean no. */
bool has_closed(tcp_stream& stream);

/** @return the error for a failed operation on a stream to @p peer. */
error stream_error(const boost::system::error_code& failed,
                   const std::string& what,
                   const address& peer);

} // namespace tillerhall
