#include "tillerhall/control/rollout_registry.hpp"

#include "tillerhall/node/messages.hpp"
#include "tillerhall/node/range_send.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds broadcast_timeout(600);
// Long enough for heartbeats to reach all nodes of a large mesh.
constexpr std::chrono::seconds recent_after_change(30);
// A node that has just started may know the targets of one release only.
constexpr std::chrono::seconds stable_after(4);

const std::string from_peer = "peer";

/** Returns the number of serving targets by service and release. */
std::map<std::string, std::map<std::string, std::size_t>>
count_releases(const member_list& members)
{
    std::map<std::string, std::map<std::string, std::size_t>> counts;
    for (const auto& kept : members.ordered())
        if (is_live(*kept.record) && !kept.record->release.empty() &&
            kept.record->target_is == target_state::serving)
            ++counts[kept.record->service][kept.record->release];
    return counts;
}

} // namespace

rollout_registry::rollout_registry(mesh_state& mesh)
    : m_mesh(mesh)
{
    publish(); // applies the exposure of the settings from the start
}

void rollout_registry::add_methods()
{
    m_mesh.server.add(method::rollouts, traffic_kind::delta,
                      [this](const json::object& p) { return on_rollouts(p); });
    m_mesh.rollouts_to_send = [this] { return recent(); };
    m_mesh.on_rollouts = [this](const std::vector<rollout_record>& records)
    { merge_records(records); };
}

void rollout_registry::on_change(std::function<void()> action)
{
    m_on_change.push_back(std::move(action));
}

const rollout_record* rollout_registry::find(const std::string& service) const
{
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : &found->second;
}

bool rollout_registry::merge_record(const rollout_record& offered,
                                    const std::string& from)
{
    const auto& service = offered.order.service;
    const auto [known, is_new] = m_records.try_emplace(service, offered);
    const auto was = is_new ? rollout_state::unread : known->second.state;
    if (!is_new && !merge(known->second, offered))
        return false;
    const auto& now = known->second;
    m_changed[service] = steady_clock::now();
    m_mesh.board.metrics
        .get("tillerhall_rollout_changes_total",
             "service=\"" + service + "\",state=\"" +
                 std::string(name_of(now.state)) + "\"")
        .add();
    // The deciding node logs its own steps.
    if (was == now.state && from == from_peer)
        return true;
    m_mesh.board.decisions.note(
        "rollout", service, now.reason.empty() ? from : now.reason,
        {{"release", now.order.release},
         {"state", name_of(now.state)},
         {"stage", name_of(now.stage)},
         {"settled", now.stable},
         {"suspects", json::value_from(now.regressed_targets)},
         {"age_ms", to_ms(steady_clock::now() - now.begun)},
         {"from", from}});
    return true;
}

void rollout_registry::merge_and_broadcast(const rollout_record& offered,
                                           const char* from)
{
    if (!merge_record(offered, from))
        return;
    fill_stable_release();
    broadcast({m_records.at(offered.order.service)}, key_range{});
    publish();
}

void rollout_registry::merge_records(const std::vector<rollout_record>& offered)
{
    bool changed = false;
    for (const auto& each : offered)
        changed |= merge_record(each, from_peer);
    if (!changed)
        return;
    fill_stable_release();
    publish();
}

std::vector<rollout_record> rollout_registry::recent() const
{
    std::vector<rollout_record> selected;
    for (const auto& [service, record] : m_records)
        if (!is_ended(record.state) ||
            steady_clock::now() < m_changed.at(service) + recent_after_change)
            selected.push_back(record);
    return selected;
}

void rollout_registry::update_stable_releases()
{
    note_sole_releases();
    fill_stable_release();
}

void rollout_registry::note_sole_releases()
{
    bool changed = false;
    const auto now = steady_clock::now();
    for (const auto& [service, counts] : count_releases(m_mesh.members))
    {
        if (counts.size() != 1)
            continue;
        const auto& release = counts.begin()->first;
        auto& sole = m_sole_releases[service];
        if (sole.release != release)
            sole = {release, now};
        auto& stable = m_stable[service];
        if (stable == release || now < sole.since + stable_after)
            continue;
        stable = release;
        changed = true;
    }
    if (changed)
        publish();
}

void rollout_registry::fill_stable_release()
{
    for (auto& [service, record] : m_records)
    {
        if (!record.stable.empty())
            continue;
        const auto known = m_stable.find(service);
        if (known != m_stable.end() && !known->second.empty() &&
            !is_closed(record, known->second))
        {
            record.stable = known->second;
            continue;
        }
        std::size_t max_count = 0;
        const auto counts = count_releases(m_mesh.members);
        const auto of_service = counts.find(service);
        if (of_service == counts.end())
            continue;
        for (const auto& [release, count] : of_service->second)
            if (count > max_count && release != record.order.release &&
                !is_closed(record, release))
            {
                record.stable = release;
                max_count = count;
            }
    }
}

void rollout_registry::publish()
{
    m_mesh.board.rollouts.set(rollout_view_ptr(
        new rollout_view(m_records, m_stable, m_mesh.config.exposure_share)));
    for (const auto& action : m_on_change)
        action();
}

void rollout_registry::broadcast(const std::vector<rollout_record>& records,
                                 const key_range& range)
{
    send_to_range(m_mesh,
                  {method::rollouts, traffic_kind::delta, broadcast_timeout,
                   [records](const key_range& part) {
                       return to_json(rollouts_message{records, part});
                   }},
                  range);
}

json::object rollout_registry::on_rollouts(const json::object& params)
{
    const auto message = rollouts_message_from_json(params);
    if (!is_meant_for(m_mesh.members.self(), message.range))
        return {{"e", name_of(error_code::invalid_argument)},
                {"d", "not this node's range"}};
    broadcast(message.records, message.range);
    merge_records(message.records);
    return {};
}

} // namespace tillerhall
