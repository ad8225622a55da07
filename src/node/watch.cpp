/** @file Distribution controller: progress of a version across the mesh. */
#include "tillerhall/node/distribution_controller.hpp"
#include "tillerhall/node/range_query.hpp"

#include <boost/json.hpp>

namespace tillerhall
{

namespace json = boost::json;

watch_report distribution_controller::watch(std::uint64_t version)
{
    auto report = watch_range(version, key_range{});
    // A suspect may only be paused, so it counts until it is declared dead.
    for (const auto& each : m_mesh.members.all())
        if (each.state == member_state::suspect)
            report.count(each.place.domain, each.rpc.text(), false);
    return report;
}

watch_report distribution_controller::watch_range(std::uint64_t version,
                                                  const key_range& range)
{
    watch_report report;
    const auto& self = m_mesh.members.self();
    report.greatest_version = current()->version();
    report.count(self.place.domain, self.rpc.text(),
                 current()->version() >= version);
    query_range(
        m_mesh, {method::watch, traffic_kind::watch, {{"v", version}}}, range,
        [&](const json::object& answer)
        { report.add(watch_report_from_json(answer)); },
        [&](const key_range& missing) { report.add(unreachable(missing)); });
    return report;
}

watch_report distribution_controller::unreachable(const key_range& range)
{
    watch_report report;
    for (const auto& each : m_mesh.members.all())
        if (is_live(each) && range.contains(key_of(each)) &&
            each.rpc != m_mesh.members.self().rpc)
            report.count(each.place.domain, each.rpc.text(), false);
    return report;
}

json::object distribution_controller::on_watch(const json::object& params)
{
    const auto version = json::value_to<std::uint64_t>(params.at("v"));
    const auto range = range_from_json(params);
    if (!is_meant_for(m_mesh.members.self(), range))
        return {{"e", name_of(error_code::invalid_argument)},
                {"d", "not this node's range"}};
    return to_json(watch_range(version, range));
}

} // namespace tillerhall
