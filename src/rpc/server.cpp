#include "tillerhall/rpc/server.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/observe/log.hpp"
#include "tillerhall/observe/metrics.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

// An idle connection is closed after this; clients reconnect when needed.
constexpr std::chrono::minutes idle_timeout(2);
constexpr std::chrono::seconds write_timeout(30);

const char* reason_of(rpc_status status)
{
    switch (status)
    {
    case rpc_status::not_json:
        return "not_json";
    case rpc_status::unknown_method:
        return "unknown_method";
    default:
        return "bad_params";
    }
}

} // namespace

void rpc_server::add(const std::string& name, traffic_kind kind, method body)
{
    m_methods[name] = entry{kind, std::move(body)};
}

std::string rpc_server::dispatch(const std::string& name,
                                 const std::string& params)
{
    boost::system::error_code failed;
    const auto parsed = boost::json::parse(params, failed);
    if (failed || !parsed.is_object())
        return R"({"e":"protocol_error","d":"params are not an object"})";
    try
    {
        return boost::json::serialize(
            m_methods.at(name).body(parsed.as_object()));
    }
    catch (const std::exception& thrown)
    {
        // A member of the peer's message is missing or of another type.
        m_metrics.get("tillerhall_rpc_bad_message_total").add();
        return boost::json::serialize(boost::json::object{
            {"e", name_of(error_code::protocol_error)}, {"d", thrown.what()}});
    }
}

void rpc_server::count_bad_frame(const char* reason)
{
    m_metrics
        .get("tillerhall_rpc_bad_frame_total",
             std::string("reason=\"") + reason + "\"")
        .add();
    log_event(log_level::warn, "rpc_bad_frame", {{"reason", reason}});
}

void rpc_server::serve(tcp_stream& stream)
{
    std::vector<std::string> names;
    for (const auto& each : m_methods)
        names.push_back(each.first);
    traffic_kind kind = traffic_kind::other;
    rpc_server_codec codec(
        names,
        [&](const std::string& name, const std::string& params)
        {
            kind = m_methods.at(name).kind;
            return dispatch(name, params);
        });
    std::string buffer;
    while (true)
    {
        boost::system::error_code failed;
        stream.expires_after(idle_timeout);
        const auto size = boost::asio::async_read_until(
            stream, boost::asio::dynamic_buffer(buffer, max_frame_bytes), '\n',
            await{failed});
        if (failed == boost::asio::error::not_found)
            count_bad_frame("too_long");
        if (failed)
            break;
        kind = traffic_kind::other;
        std::string answer;
        const auto status = codec.handle(buffer.substr(0, size - 1), answer);
        buffer.erase(0, size);
        answer.push_back('\n');
        m_traffic.add(kind, size, answer.size());
        if (status != rpc_status::ok)
            count_bad_frame(reason_of(status));
        stream.expires_after(write_timeout);
        boost::asio::async_write(stream, boost::asio::buffer(answer),
                                 await{failed});
        if (failed || status != rpc_status::ok)
            break;
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(boost::asio::socket_base::shutdown_both, ignored);
}

} // namespace tillerhall
