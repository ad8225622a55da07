#include "tillerhall/node/burn_controller.hpp"
#include "tillerhall/node/range_query.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr const char* burn_method = "burn";

/** Multiwindow burn-rate alert (SRE Workbook, chapter 5): raised while the
 * burn rate of both windows is above `rate`. Windows are indexes into
 * `burn_windows`. */
struct burn_alarm
{
    std::string_view name;
    std::size_t short_window;
    std::size_t long_window;
    double rate;
};

constexpr std::array alarms{burn_alarm{"page", 0, 1, 14.4},
                            burn_alarm{"ticket", 2, 3, 6}};
constexpr std::size_t longest_window = 3;

double burn_rate(const burn_count& count, double budget)
{
    if (count.calls == 0)
        return 0;
    return static_cast<double>(count.bad) / static_cast<double>(count.calls) /
           budget;
}

json::array to_json(const burn_entry& entry)
{
    json::array windows;
    for (const auto& each : entry.windows)
        windows.push_back(json::array{each.calls, each.bad});
    json::array latencies;
    for (const auto& [bucket, count] : entry.latencies)
        latencies.push_back(json::array{bucket, count});
    return {entry.key.service,       entry.key.place,     std::move(windows),
            entry.began_minutes_ago, entry.began_version, entry.cause,
            entry.cause_count,       std::move(latencies)};
}

burn_entry entry_from(const json::array& cells)
{
    burn_entry entry;
    entry.key = {json::value_to<std::string>(cells.at(0)),
                 json::value_to<std::string>(cells.at(1))};
    const auto& windows = cells.at(2).as_array();
    for (std::size_t i = 0; i < entry.windows.size(); ++i)
        entry.windows[i] = {json::value_to<std::uint64_t>(windows.at(i).at(0)),
                            json::value_to<std::uint64_t>(windows.at(i).at(1))};
    entry.began_minutes_ago = json::value_to<std::int64_t>(cells.at(3));
    entry.began_version = json::value_to<std::uint64_t>(cells.at(4));
    entry.cause = json::value_to<std::string>(cells.at(5));
    entry.cause_count = json::value_to<std::uint64_t>(cells.at(6));
    for (const auto& each : cells.at(7).as_array())
        entry.latencies[json::value_to<int>(each.at(0))] =
            json::value_to<std::uint64_t>(each.at(1));
    return entry;
}

} // namespace

void burn_controller::add_methods()
{
    m_mesh.server.add(burn_method, traffic_kind::watch,
                      [this](const json::object& p) { return on_burn(p); });
}

burn_report burn_controller::gather(const key_range& range,
                                    std::size_t& unreachable)
{
    burn_report total;
    for (const auto& each : m_mesh.board.burn.entries(wall_clock_minute()))
        add_to(total, each);
    query_range(
        m_mesh, {burn_method, traffic_kind::watch, {}}, range,
        [&](const json::object& answer)
        {
            for (const auto& each : answer.at("b").as_array())
                add_to(total, entry_from(each.as_array()));
            unreachable += json::value_to<std::size_t>(answer.at("x"));
        },
        [&](const key_range&) { ++unreachable; });
    return total;
}

json::object burn_controller::on_burn(const json::object& params)
{
    const auto range = range_from_json(params);
    if (!is_meant_for(m_mesh.members.self(), range))
        return {{"e", name_of(error_code::invalid_argument)},
                {"d", "not this node's range"}};
    std::size_t unreachable = 0;
    json::array entries;
    for (const auto& each : gather(range, unreachable))
        entries.push_back(to_json(each.second));
    return {{"b", std::move(entries)}, {"x", unreachable}};
}

json::object burn_controller::describe(const burn_entry& entry) const
{
    const auto& objectives = m_mesh.config.objectives;
    const auto found = objectives.find(entry.key.service);
    const auto slo = found == objectives.end() ? objective{} : found->second;
    json::object rates;
    for (std::size_t i = 0; i < burn_windows.size(); ++i)
        rates[burn_windows[i].name] = burn_rate(entry.windows[i], slo.budget());
    std::string alarm = "none";
    for (const auto& each : alarms)
        if (alarm == "none" &&
            burn_rate(entry.windows[each.short_window], slo.budget()) >
                each.rate &&
            burn_rate(entry.windows[each.long_window], slo.budget()) >
                each.rate)
            alarm = each.name;
    latency_histogram latencies;
    latencies.add(entry.latencies);
    const auto& longest = entry.windows[longest_window];
    return {{"service", entry.key.service},
            {"place", entry.key.place},
            {"answered_percent", slo.answered_percent},
            {"within_ms", slo.within_ms},
            {"calls", longest.calls},
            {"bad", longest.bad},
            {"burn", std::move(rates)},
            {"budget_left", 1 - burn_rate(longest, slo.budget())},
            {"alarm", alarm},
            {"began_minutes_ago", entry.began_minutes_ago},
            {"began_version", entry.began_version},
            {"cause", entry.cause},
            {"p50_ms", latencies.quantile(0.5)},
            {"p99_ms", latencies.quantile(0.99)}};
}

json::object burn_controller::report()
{
    std::size_t unreachable = 0;
    json::array rows;
    for (const auto& each : gather(key_range{}, unreachable))
        rows.push_back(describe(each.second));
    return {{"rows", std::move(rows)}, {"parts_unreachable", unreachable}};
}

} // namespace tillerhall
