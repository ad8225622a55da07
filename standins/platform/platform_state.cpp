#include "platform_state.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr std::string_view object_prefix = "/objects/v1/";

http_response respond(unsigned status, const json::value& body)
{
    http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

http_response drop()
{
    http_response response;
    response.drop = true;
    return response;
}

json::object item_to_json(const std::string& key,
                          const std::string& value,
                          std::uint64_t revision)
{
    return {{"key", key}, {"value", value}, {"revision", revision}};
}

/** One fault setting and its field. */
struct fault_entry
{
    const char* name;
    std::int64_t platform_faults::*field;
};

constexpr std::array fault_table{
    fault_entry{"delay_ms", &platform_faults::delay_ms},
    fault_entry{"lose_answers", &platform_faults::lose_answers},
    fault_entry{"fail_every", &platform_faults::fail_every},
    fault_entry{"host_lag_ms", &platform_faults::host_lag_ms},
};

} // namespace

http_response platform_state::answer(const http_request& request)
{
    try
    {
        if (request.path.starts_with("/admin/"))
            return answer_admin(request);
        if (m_faults.delay_ms > 0)
            m_sleep(milliseconds(m_faults.delay_ms));
        if (m_faults.down)
            return drop();
        auto response = answer_service(request);
        m_counts.bytes_out += static_cast<std::int64_t>(response.body.size());
        return response;
    }
    catch (const std::exception& failed)
    {
        return respond(400, json::object{{"error", failed.what()}});
    }
}

http_response platform_state::answer_service(const http_request& request)
{
    const auto& path = request.path;
    if (request.method == "GET")
        count_read();
    if (path == "/tables/v1/item")
        return get_item(request.param("key"));
    if (path == "/tables/v1/list")
        return list_items(request.param("prefix"),
                          std::stoul(request.param("limit", "100")));
    if (path == "/tables/v1/transact")
        return transact(json::parse(request.body).as_object());
    if (path == "/hosts/v1/list")
        return get_hosts();
    if (path.starts_with(object_prefix) && request.method == "PUT")
        return put_object(path.substr(object_prefix.size()), request.body);
    if (path.starts_with(object_prefix))
        return get_object(path.substr(object_prefix.size()));
    return respond(404, json::object{{"error", "no such path"}});
}

void platform_state::count_read()
{
    ++m_counts.reads;
    const auto second = to_ms(steady_clock::now().time_since_epoch()) / 1000;
    m_reads_this_second = second == m_second ? m_reads_this_second + 1 : 1;
    m_second = second;
    m_counts.peak_reads_s =
        std::max(m_counts.peak_reads_s, m_reads_this_second);
}

http_response platform_state::get_item(const std::string& key)
{
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return respond(404, json::object{{"error", "no such item"}});
    return respond(
        200, item_to_json(key, found->second.value, found->second.revision));
}

http_response platform_state::list_items(const std::string& prefix,
                                         std::size_t limit)
{
    json::array items;
    for (auto each = m_items.rbegin();
         each != m_items.rend() && items.size() < limit; ++each)
        if (each->first.starts_with(prefix))
            items.push_back(item_to_json(each->first, each->second.value,
                                         each->second.revision));
    return respond(200, json::object{{"items", std::move(items)}});
}

bool platform_state::conditions_hold(const json::object& body) const
{
    const auto holds = [this](const json::value& each)
    {
        const auto key = json::value_to<std::string>(each.at("key"));
        const auto wanted = json::value_to<std::uint64_t>(each.at("revision"));
        const auto found = m_items.find(key);
        return wanted == (found == m_items.end() ? 0 : found->second.revision);
    };
    return std::ranges::all_of(body.at("conditions").as_array(), holds);
}

bool platform_state::write_fails()
{
    ++m_writes_seen;
    return m_faults.fail_every > 0 && m_writes_seen % m_faults.fail_every == 0;
}

http_response platform_state::transact(const json::object& body)
{
    ++m_counts.writes;
    if (write_fails())
        return respond(503, json::object{{"error", "try again"}});
    if (!conditions_hold(body))
        return respond(409, json::object{{"committed", false}});
    ++m_revision;
    for (const auto& each : body.at("writes").as_array())
        m_items[json::value_to<std::string>(each.at("key"))] = {
            json::value_to<std::string>(each.at("value")), m_revision};
    if (m_faults.lose_answers > 0)
    {
        --m_faults.lose_answers;
        return drop();
    }
    return respond(200,
                   json::object{{"committed", true}, {"revision", m_revision}});
}

http_response platform_state::put_object(const std::string& name,
                                         const std::string& body)
{
    ++m_counts.writes;
    if (write_fails())
        return respond(503, json::object{{"error", "try again"}});
    m_objects[name] = body;
    return respond(200, json::object{{"stored", name}});
}

http_response platform_state::get_object(const std::string& name)
{
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return respond(404, json::object{{"error", "no such object"}});
    http_response response;
    response.content_type = "application/octet-stream";
    response.body = found->second;
    return response;
}

http_response platform_state::get_hosts()
{
    const auto shown = steady_clock::now() - milliseconds(m_faults.host_lag_ms);
    http_response response;
    response.body = R"({"hosts":[]})";
    for (const auto& each : m_hosts)
        if (each.at <= shown)
            response.body = each.body;
    return response;
}

void platform_state::set_hosts(const std::string& body)
{
    constexpr std::size_t max_snapshots = 1000;
    m_hosts.push_back({steady_clock::now(), body});
    if (m_hosts.size() > max_snapshots)
        m_hosts.pop_front();
}

http_response platform_state::answer_admin(const http_request& request)
{
    if (request.path == "/admin/faults")
        return set_faults(json::parse(request.body).as_object());
    if (request.path == "/admin/hosts")
    {
        json::parse(request.body).as_object().at("hosts").as_array();
        set_hosts(request.body);
        return respond(200, json::object{});
    }
    if (request.path == "/admin/reset")
        m_counts = {};
    if (request.path == "/admin/reset" || request.path == "/admin/stats")
        return show_counts();
    return respond(404, json::object{{"error", "no such path"}});
}

http_response platform_state::set_faults(const json::object& body)
{
    for (const auto& each : body)
    {
        if (each.key() == "down")
        {
            m_faults.down = each.value().as_bool();
            continue;
        }
        const auto found =
            std::ranges::find_if(fault_table, [&](const fault_entry& entry)
                                 { return entry.name == each.key(); });
        if (found == fault_table.end())
            return respond(400, json::object{{"error", "unknown fault"},
                                             {"name", each.key()}});
        m_faults.*found->field = each.value().to_number<std::int64_t>();
    }
    return respond(200, json::object{});
}

http_response platform_state::show_counts()
{
    return respond(200, json::object{{"reads", m_counts.reads},
                                     {"writes", m_counts.writes},
                                     {"bytes_out", m_counts.bytes_out},
                                     {"peak_reads_s", m_counts.peak_reads_s}});
}

} // namespace tillerhall
