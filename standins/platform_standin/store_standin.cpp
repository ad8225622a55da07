#include "platform_standin/store_standin.hpp"

#include "tillerhall/core/base64.hpp"
#include "tillerhall/http/api_server.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds feed_poll_interval(3);
constexpr std::chrono::minutes hang_duration(10);

http_response respond(unsigned status, const json::object& body)
{
    http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

store_standin::store_standin(worker& on)
    : m_worker(on)
    , m_listener(std::move(*listener::open(on, {"127.0.0.1", 0})))
{
    m_listener->start(
        [this](tcp_stream& stream)
        {
            serve_api(stream, [this](const http_request& request)
                      { return answer(request); });
        });
}

json::object store_standin::to_json(const row_key& key, const row& shown)
{
    return {{"table", key.table},
            {"part", key.part},
            {"key", key.key},
            {"value", shown.value},
            {"ver", shown.revision}};
}

store_standin::row_key store_standin::key_from(const json::object& from)
{
    return {std::string(from.at("table").as_string()),
            std::string(from.at("part").as_string()),
            std::string(from.at("key").as_string())};
}

void store_standin::put(const std::string& table,
                        const std::string& part,
                        const std::string& key,
                        const std::string& value)
{
    const row_key name{table, part, key};
    m_rows[name] = {encode_base64(value), ++m_revision};
    m_changes.push_back({name, m_rows[name], false});
}

void store_standin::remove(const std::string& table,
                           const std::string& part,
                           const std::string& key)
{
    const row_key name{table, part, key};
    m_rows.erase(name);
    m_changes.push_back({name, {"", ++m_revision}, true});
}

std::map<std::string, std::string>
store_standin::values(const std::string& table) const
{
    std::map<std::string, std::string> found;
    for (const auto& [key, kept] : m_rows)
        if (key.table == table)
            found[key.key] = *decode_base64(kept.value);
    return found;
}

std::uint64_t store_standin::calls_on(const std::string& table) const
{
    const auto found = m_calls_by_table.find(table);
    return found == m_calls_by_table.end() ? 0 : found->second;
}

http_response store_standin::answer(const http_request& request)
{
    ++m_calls;
    ++m_calls_by_table[request.param("table")];
    if (m_faults.silent)
        sleep_for(m_worker.io(), hang_duration);
    if (m_faults.answer_delay > milliseconds::zero())
        sleep_for(m_worker.io(), m_faults.answer_delay);
    if (m_faults.down)
        return respond(503, {});
    if (request.path == "/rows-tx")
        return transact(request);
    if (request.path == "/rows-get")
        return read(request);
    if (request.path == "/rows-feed")
        return read_feed(request);
    return respond(404, {});
}

bool store_standin::await_write_slot()
{
    if (m_faults.writes_per_s <= 0)
        return true;
    const auto now = steady_clock::now();
    const auto begin = std::max(now, m_write_backlog_end);
    if (begin - now > std::chrono::seconds(1))
        return false;
    m_write_backlog_end =
        begin + std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(1 / m_faults.writes_per_s));
    sleep_for(m_worker.io(), m_write_backlog_end - now);
    return true;
}

http_response store_standin::transact(const http_request& request)
{
    if (!await_write_slot())
        return respond(429, {});
    const auto body = json::parse(request.body).as_object();
    json::array current_rows;
    bool holds = true;
    for (const auto& each : body.at("expectedRevision").as_array())
    {
        const auto key = key_from(each.as_object());
        const auto found = m_rows.find(key);
        const auto revision =
            found == m_rows.end() ? 0 : found->second.revision;
        ++m_calls_by_table[key.table];
        holds = holds && each.at("ver").to_number<std::uint64_t>() == revision;
        if (found != m_rows.end())
            current_rows.push_back(to_json(key, found->second));
    }
    if (!holds)
        return respond(412, {{"rows", current_rows}, {"ver", m_revision}});
    ++m_revision;
    for (const auto& each : body.at("puts").as_array())
    {
        const auto key = key_from(each.as_object());
        m_rows[key] = {std::string(each.at("value").as_string()), m_revision};
        m_changes.push_back({key, m_rows[key], false});
    }
    for (const auto& each : body.at("remove").as_array())
    {
        const auto key = key_from(each.as_object());
        m_rows.erase(key);
        m_changes.push_back({key, {"", m_revision}, true});
    }
    if (m_faults.lose_answers > 0)
    {
        --m_faults.lose_answers;
        http_response lost;
        lost.drop = true;
        return lost;
    }
    return respond(200, {{"ver", m_revision}});
}

http_response store_standin::read(const http_request& request)
{
    json::array rows;
    for (const auto& [key, kept] : m_rows)
        if (key.table == request.param("table") &&
            key.part == request.param("part") &&
            key.key >= request.param("from"))
            rows.push_back(to_json(key, kept));
    return respond(200,
                   {{"rows", rows}, {"morePages", false}, {"ver", m_revision}});
}

std::vector<store_standin::change>
store_standin::changes_since(const std::string& table,
                             std::uint64_t revision) const
{
    std::vector<change> found;
    std::ranges::copy_if(m_changes, std::back_inserter(found),
                         [&](const change& each) {
                             return each.key.table == table &&
                                    each.now.revision > revision;
                         });
    return found;
}

http_response store_standin::read_feed(const http_request& request)
{
    const auto after = parse_number(request.param("after"));
    const auto until = steady_clock::now() +
                       milliseconds(parse_number(request.param("waitMs")));
    if (after < m_oldest_feed_revision)
        return respond(410, {});
    auto changed = changes_since(request.param("table"), after);
    while (changed.empty() && steady_clock::now() < until && !m_faults.down)
    {
        sleep_for(m_worker.io(), feed_poll_interval);
        changed = changes_since(request.param("table"), after);
    }
    if (m_faults.down)
        return respond(503, {});
    json::array rows;
    for (const auto& each : changed)
    {
        auto shown = to_json(each.key, each.now);
        if (each.removed)
            shown["tombstone"] = true;
        rows.push_back(std::move(shown));
    }
    return respond(200, {{"rows", rows}, {"ver", m_revision}});
}

} // namespace tillerhall
