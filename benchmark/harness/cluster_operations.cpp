/** @file Operations of tests and benchmarks on a running cluster. */
#include "harness/cluster.hpp"

#include <boost/json.hpp>

namespace tillerhall::harness
{
namespace
{

namespace json = boost::json;

constexpr milliseconds call_timeout(20'000);

} // namespace

result<void> cluster::start_with_table()
{
    if (auto started = start(); !started)
        return started;
    const auto accepted = accept(0, default_table(), 0, "first");
    if (!accepted)
        return accepted.reason();
    if (!accepted->contains("version"))
        return error(error_code::conflict, json::serialize(*accepted));
    if (!wait_for_version(1))
        return error(error_code::timed_out,
                     "version 1 did not reach every node",
                     "see the logs in " + folder());
    return {};
}

result<json::object> cluster::get(const address& from, const std::string& path)
{
    return send(from, {"GET", path});
}

result<json::object> cluster::post(const address& to,
                                   const std::string& path,
                                   const json::object& body)
{
    return send(to, {"POST", path, json::serialize(body), m_token});
}

result<json::object> cluster::send(const address& to, const api_call& request)
{
    auto& client = m_clients[to];
    if (!client)
        client = std::make_unique<api_client>(m_worker.io(), to);
    const auto response = client->send(request, call_timeout);
    if (!response)
        return response.reason();
    boost::system::error_code failed;
    auto value = json::parse(response->body, failed);
    if (failed || !value.is_object())
        return error(error_code::protocol_error, response->body);
    value.as_object()["http_status"] = response->status;
    return std::move(value.as_object());
}

void cluster::set_platform(const json::object& faults)
{
    post(m_platform_address, "/admin/faults", faults);
}

void cluster::set_rules(const json::array& rules)
{
    post(m_faultproxy_address, "/rules", {{"rules", rules}});
}

void cluster::set_target(std::size_t index, const json::object& behaviour)
{
    post(m_nodes[index].target, "/admin/behave", behaviour);
}

result<json::object> cluster::accept(std::size_t index,
                                     const std::string& csv,
                                     std::uint64_t base,
                                     const std::string& accept_id,
                                     bool rebase)
{
    return post(m_nodes[index].operators, "/v1/accept",
                {{"csv", csv},
                 {"base", base},
                 {"accept_id", accept_id},
                 {"author", "bench"},
                 {"rebase", rebase}});
}

json::object cluster::status(std::size_t index)
{
    auto& node = m_nodes[index];
    if (!node.runs.is_running())
        return {};
    auto read = get(node.operators, "/v1/status");
    return read ? std::move(*read) : json::object{};
}

std::int64_t cluster::version(std::size_t index)
{
    const auto shown = status(index);
    const auto* found = shown.if_contains("version");
    return found == nullptr ? -1 : found->to_number<std::int64_t>();
}

} // namespace tillerhall::harness
