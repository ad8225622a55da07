#include "tillerhall/store/http_platform.hpp"

#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_conflict = 409;
constexpr unsigned http_service_unavailable = 503;

error unavailable(const std::string& what, const error& cause)
{
    return error(error_code::unavailable, what).caused_by(cause);
}

error unexpected(const std::string& what, const http_response& response)
{
    return error(error_code::unavailable,
                 what + " answered " + std::to_string(response.status));
}

table_item item_from(const json::value& value)
{
    const auto& members = value.as_object();
    return {json::value_to<std::string>(members.at("key")),
            json::value_to<std::string>(members.at("value")),
            json::value_to<std::uint64_t>(members.at("revision"))};
}

/** @return @p read of the parsed body; `unavailable` if it is malformed. */
template <class Read>
auto parse_body(const http_response& response, Read read)
    -> result<decltype(read(std::declval<const json::object&>()))>
{
    try
    {
        return read(json::parse(response.body).as_object());
    }
    catch (const std::exception& failed)
    {
        return error(error_code::unavailable,
                     std::string("the platform's answer is malformed: ") +
                         failed.what());
    }
}

json::object to_json(const table_transaction& transaction)
{
    json::array conditions;
    for (const auto& each : transaction.conditions)
        conditions.push_back(
            json::object{{"key", each.key}, {"revision", each.revision}});
    json::array writes;
    for (const auto& each : transaction.writes)
        writes.push_back(
            json::object{{"key", each.key}, {"value", each.value}});
    return {{"conditions", std::move(conditions)},
            {"writes", std::move(writes)}};
}

} // namespace

result<http_response> platform_connection::call(const std::string& method,
                                                const std::string& target,
                                                const std::string& body)
{
    auto response = m_client.call(method, target, body, m_timeout);
    if (response)
        m_traffic.add(traffic_kind::source, response->wire_in,
                      response->wire_out);
    return response;
}

result<std::optional<table_item>>
http_table_service::get(const std::string& key)
{
    const auto response =
        m_connection.call("GET", "/tables/v1/item?key=" + percent_encode(key));
    if (!response)
        return unavailable("table service read of " + key, response.reason());
    if (response->status == http_not_found)
        return std::optional<table_item>{};
    if (response->status != http_ok)
        return unexpected("table service read of " + key, *response);
    return parse_body(*response, [](const json::object& body)
                      { return std::optional(item_from(body)); });
}

result<std::vector<table_item>>
http_table_service::list_last(const std::string& prefix, std::size_t limit)
{
    const auto response = m_connection.call(
        "GET", "/tables/v1/list?prefix=" + percent_encode(prefix) +
                   "&limit=" + std::to_string(limit));
    if (!response)
        return unavailable("table service list", response.reason());
    if (response->status != http_ok)
        return unexpected("table service list", *response);
    return parse_body(*response,
                      [](const json::object& body)
                      {
                          std::vector<table_item> items;
                          for (const auto& each : body.at("items").as_array())
                              items.push_back(item_from(each));
                          return items;
                      });
}

result<commit_outcome>
http_table_service::transact(const table_transaction& transaction)
{
    const auto response = m_connection.call(
        "POST", "/tables/v1/transact", json::serialize(to_json(transaction)));
    if (response && response->status == http_ok)
        return parse_body(*response,
                          [](const json::object& body) -> commit_outcome {
                              return {true, json::value_to<std::uint64_t>(
                                                body.at("revision"))};
                          });
    if (response && response->status == http_conflict)
        return commit_outcome{};
    // 503 guarantees that the write had no effect; see docs/PLATFORM.md.
    if (response && response->status == http_service_unavailable)
        return unexpected("table service write", *response);
    if (response)
        return error(error_code::outcome_unknown,
                     "table service write answered " +
                         std::to_string(response->status));
    if (response.reason().code() == error_code::connection_failed)
        return unavailable("table service write", response.reason());
    return error(error_code::outcome_unknown,
                 "the table service's answer to a write was lost")
        .caused_by(response.reason());
}

result<void> http_object_store::put(const std::string& name,
                                    const std::string& content)
{
    const auto response = m_connection.call(
        "PUT", "/objects/v1/" + percent_encode(name), content);
    if (!response)
        return unavailable("object store write", response.reason());
    if (response->status != http_ok)
        return unexpected("object store write", *response);
    return {};
}

result<std::string> http_object_store::get(const std::string& name)
{
    auto response =
        m_connection.call("GET", "/objects/v1/" + percent_encode(name));
    if (!response)
        return unavailable("object store read", response.reason());
    if (response->status == http_not_found)
        return error(error_code::not_found, "object " + name);
    if (response->status != http_ok)
        return unexpected("object store read", *response);
    return std::move(response->body);
}

result<std::vector<listed_host>> http_host_list::read()
{
    const auto response = m_connection.call("GET", "/hosts/v1/list");
    if (!response)
        return unavailable("host list", response.reason());
    if (response->status != http_ok)
        return unexpected("host list", *response);
    return parse_body(
        *response,
        [](const json::object& body)
        {
            std::vector<listed_host> hosts;
            for (const auto& each : body.at("hosts").as_array())
            {
                const auto& host = each.as_object();
                const auto node =
                    address::parse(host.at("node").as_string().c_str());
                if (node)
                    hosts.push_back(
                        {*node, host.at("state").as_string() == "leaving"});
            }
            return hosts;
        });
}

} // namespace tillerhall
