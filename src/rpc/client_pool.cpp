#include "tillerhall/rpc/client_pool.hpp"
#include "tillerhall/rpc/connection.hpp"

#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

error call_error(const rpc_call& request, const rpc_reply& reply)
{
    const auto code = reply.status == rpc_status::transport_failed
                          ? error_code::connection_lost
                          : error_code::protocol_error;
    return error(code, request.method + " to " + request.peer.text() + ": " +
                           reply.text);
}

/** @return the answer, or the error that the peer returned in it. */
result<boost::json::object> read_answer(const rpc_call& request,
                                        const std::string& text)
{
    boost::system::error_code failed;
    auto value = boost::json::parse(text, failed);
    if (failed || !value.is_object())
        return error(error_code::protocol_error,
                     request.method + " to " + request.peer.text() +
                         ": the answer is not an object");
    auto& answer = value.as_object();
    const auto* refused = answer.if_contains("e");
    if (refused == nullptr || !refused->is_string())
        return std::move(answer);
    std::string detail;
    if (const auto* given = answer.if_contains("d");
        given && given->is_string())
        detail = given->as_string().c_str();
    return error(error_code_named(refused->as_string()), detail);
}

} // namespace

rpc_client_pool::rpc_client_pool(boost::asio::io_context& io,
                                 traffic_counters& traffic,
                                 std::size_t max_idle,
                                 std::string from_ip)
    : m_io(io)
    , m_traffic(traffic)
    , m_max_idle(max_idle)
    , m_from_ip(std::move(from_ip))
{
}

rpc_client_pool::~rpc_client_pool() = default;

result<boost::json::object> rpc_client_pool::call(const rpc_call& request)
{
    auto connection = take_idle(request.peer);
    if (!connection)
    {
        auto opened =
            connect_stream(m_io, request.peer, request.timeout, m_from_ip);
        if (!opened)
            return opened.reason();
        connection =
            std::make_unique<rpc_connection>(request.peer, std::move(*opened));
    }
    connection->reset_bytes();
    const auto begin = steady_clock::now();
    const auto reply =
        connection->call(request.method, boost::json::serialize(request.params),
                         request.timeout);
    m_traffic.add(request.kind, connection->bytes_in(),
                  connection->bytes_out());
    if (reply.status == rpc_status::transport_failed)
        close_idle(request.peer, begin);
    if (reply.status != rpc_status::ok)
        return call_error(request, reply);
    give_back(std::move(connection));
    return read_answer(request, reply.text);
}

std::unique_ptr<rpc_connection> rpc_client_pool::take_idle(const address& peer)
{
    close_idle(peer, steady_clock::now() - max_idle_time);
    while (true)
    {
        const auto found =
            std::ranges::find_if(m_idle, [&](const idle_connection& each)
                                 { return each.connection->peer() == peer; });
        if (found == m_idle.end())
            return nullptr;
        auto taken = std::move(found->connection);
        m_idle.erase(found);
        if (is_reusable(taken->stream()))
            return taken;
    }
}

void rpc_client_pool::give_back(std::unique_ptr<rpc_connection> used)
{
    m_idle.push_front({std::move(used), steady_clock::now()});
    if (m_idle.size() > m_max_idle)
        m_idle.pop_back();
}

void rpc_client_pool::close_idle(const address& peer, time_point since)
{
    std::erase_if(
        m_idle, [&](const idle_connection& each)
        { return each.connection->peer() == peer && each.answered < since; });
}

} // namespace tillerhall
