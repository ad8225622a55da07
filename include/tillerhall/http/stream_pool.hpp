/** @file A pool of idle connections to several addresses. */
#pragma once

#include "tillerhall/http/pooled_stream.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tillerhall
{

/** Connections of one worker. A stream may be given back only if its last
 * exchange ended cleanly. */
class stream_pool
{
public:
    /**
     * @param max_idle maximum of idle streams kept for each address
     * @param from_ip local IP address to connect from
     * @param user_timeout a stream fails when sent data is not acknowledged
     * for so long; 0 leaves it to the system
     */
    stream_pool(boost::asio::io_context& io,
                std::size_t max_idle,
                std::string from_ip,
                duration user_timeout = duration::zero())
        : m_io(io)
        , m_max_idle(max_idle)
        , m_from_ip(std::move(from_ip))
        , m_user_timeout(user_timeout)
    {
    }

    /**
     * @param request_id id of the request to be sent, which the stream must not
     * have carried before; empty if that does not matter
     * @return an idle stream to @p to, or a new one.
     */
    result<pooled_stream>
    take(const address& to, duration timeout, std::string_view request_id = {});

    /**
     * Opens a new stream to @p to, even if there are idle ones, and keeps it as
     * idle.
     * @return the error of the connect, if it failed.
     */
    boost::system::error_code
    probe(const address& to, duration timeout, duration usable_for);

    /**
     * Keeps @p stream as idle.
     * @param usable_for time after which it is no longer used, since the peer
     * may close it
     */
    void give_back(const address& to,
                   pooled_stream stream,
                   duration usable_for = std::chrono::hours(1));

    /** @return the number of idle streams to all addresses. */
    std::size_t idle_count() const;

    /** Drops idle streams to all but @p max_addresses addresses. */
    void trim(std::size_t max_addresses);

private:
    boost::asio::io_context& m_io;
    std::size_t m_max_idle;
    std::string m_from_ip;
    duration m_user_timeout;
    struct idle_stream
    {
        pooled_stream stream;
        time_point usable_until;
    };

    /** @return the newest usable idle stream to @p to that may carry the
     * request, if any. */
    std::optional<pooled_stream> take_idle(const address& to,
                                           std::string_view request_id);
    result<pooled_stream> open(const address& to, duration timeout);
    void drop_expired(time_point now);

    std::map<address, std::vector<idle_stream>> m_idle;
    time_point m_last_sweep{};  ///< time of the last drop_expired
    std::uint64_t m_opened = 0; ///< streams opened so far
};

} // namespace tillerhall
