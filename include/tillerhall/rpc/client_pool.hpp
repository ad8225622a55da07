/** @file Calls other nodes over a bounded set of reused connections. */
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

/** What of a call to a peer. */
struct rpc_call
{
    address peer;
    traffic_kind kind = traffic_kind::other;
    std::string method;
    boost::json::object params;
    duration timeout = std::chrono::seconds(2);
};

/**
 * Client connections of one worker, the idle ones kept in order of use.
 * A connection carries one call at a time and is dropped after any failure,
 * so that a late answer can never reach a later call.
 */
class rpc_client_pool
{
public:
    rpc_client_pool(boost::asio::io_context& io,
                    traffic_counters& traffic,
                    std::size_t most_idle,
                    std::string from_ip);
    ~rpc_client_pool();

    /**
     * @return the answer's members; connection_failed means the peer was
     * never reached, a peer's own refusal comes back as its error code.
     */
    result<boost::json::object> call(const rpc_call& made);

private:
    std::unique_ptr<rpc_connection> take_idle(const address& peer);
    void give_back(std::unique_ptr<rpc_connection> used);

    boost::asio::io_context& m_io;
    traffic_counters& m_traffic;
    std::size_t m_most_idle;
    std::string m_from_ip;
    std::list<std::unique_ptr<rpc_connection>> m_idle; ///< newest first
};

} // namespace tillerhall
