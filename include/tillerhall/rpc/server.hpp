/** @file Serves JSON-RPC frames, one per line, on TCP connections. */
#pragma once

#include "tillerhall/http/stream.hpp"
#include "tillerhall/observe/traffic.hpp"
#include "tillerhall/rpc/codec.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <string>

namespace tillerhall
{

class metrics_registry;

/** Dispatches calls to the methods of one kind of process. */
class rpc_server
{
public:
    using method =
        std::function<boost::json::object(const boost::json::object& params)>;

    /** Maximum size of a frame; a table or a member list is well below. */
    static constexpr std::size_t max_frame_bytes = 4 * 1024 * 1024;

    rpc_server(traffic_counters& traffic, metrics_registry& metrics)
        : m_traffic(traffic)
        , m_metrics(metrics)
    {
    }

    /** Adds a method; its traffic is counted under @p kind. */
    void add(const std::string& name, traffic_kind kind, method body);

    /**
     * Answers frames until the connection is closed. A malformed frame closes
     * this connection only and is counted with the reason.
     */
    void serve(tcp_stream& stream);

private:
    struct entry
    {
        traffic_kind kind;
        method body;
    };

    std::string dispatch(const std::string& name, const std::string& params);
    void count_bad_frame(const char* reason);

    traffic_counters& m_traffic;
    metrics_registry& m_metrics;
    std::map<std::string, entry> m_methods;
};

} // namespace tillerhall
