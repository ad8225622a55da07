/** @file Calls other nodes over a bounded pool of connections. */
#pragma once

#include "tillerhall/http/stream.hpp"
#include "tillerhall/observe/traffic.hpp"

#include <boost/json/object.hpp>
#include <list>
#include <memory>
#include <string>

namespace tillerhall
{

class rpc_connection;

/** One call to a peer. */
struct rpc_call
{
    address peer;
    traffic_kind kind = traffic_kind::other;
    std::string method;
    boost::json::object params;
    duration timeout = std::chrono::seconds(2);
};

/**
 * Client connections of one worker; the least recently used idle one is
 * evicted. A connection carries one call at a time and is closed after any
 * failure, so that a late answer cannot reach a later call. One that may have
 * gone silent is not used: see `api_client`.
 */
class rpc_client_pool
{
public:
    /**
     * @param max_idle maximum of idle connections, to all peers together
     * @param from_ip local IP address to connect from
     */
    rpc_client_pool(boost::asio::io_context& io,
                    traffic_counters& traffic,
                    std::size_t max_idle,
                    std::string from_ip);
    ~rpc_client_pool();

    /**
     * @return the members of the answer, or an error: connection_failed if no
     * connection could be opened, the peer's own error code if it refused the
     * call.
     */
    result<boost::json::object> call(const rpc_call& request);

    /** A connection that has been idle for longer is not used again; more than
     * the interval of heartbeats and updates. */
    static constexpr milliseconds max_idle_time{2'000};

private:
    struct idle_connection
    {
        std::unique_ptr<rpc_connection> connection;
        time_point answered; ///< its last answer
    };

    std::unique_ptr<rpc_connection> take_idle(const address& peer);
    void give_back(std::unique_ptr<rpc_connection> used);
    /** Closes the idle connections to @p peer that have not answered since
     * @p since. */
    void close_idle(const address& peer, time_point since);

    boost::asio::io_context& m_io;
    traffic_counters& m_traffic;
    std::size_t m_max_idle;
    std::string m_from_ip;
    std::list<idle_connection> m_idle; ///< newest first
};

} // namespace tillerhall
