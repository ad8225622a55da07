#include "tillerhall/control/rollout_book.hpp"

#include "tillerhall/node/messages.hpp"
#include "tillerhall/node/range_send.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds tell_timeout(600);
// Heartbeats reach all nodes of a large mesh within some ten rounds of 1 s.
constexpr std::chrono::seconds told_after_change(30);
// Targets report each second or two, so a node that has just started may know
// those of one release only.
constexpr std::chrono::seconds settles_after(4);

const std::string from_peer = "peer";

/** @return how many serving targets of each release a service has. */
std::map<std::string, std::map<std::string, std::size_t>>
releases_in(const member_list& members)
{
    std::map<std::string, std::map<std::string, std::size_t>> counts;
    for (const auto& kept : members.ordered())
        if (is_live(*kept.record) && !kept.record->release.empty() &&
            kept.record->target_is == target_state::serving)
            ++counts[kept.record->service][kept.record->release];
    return counts;
}

} // namespace

rollout_book::rollout_book(mesh_state& mesh)
    : m_mesh(mesh)
{
    publish(); // so that the settings' exposure holds from the start
}

void rollout_book::add_methods()
{
    m_mesh.server.add(method::rollouts, traffic_kind::delta,
                      [this](const json::object& p) { return on_told(p); });
    m_mesh.rollouts_told = [this] { return lively(); };
    m_mesh.rollouts_heard = [this](const std::vector<rollout_record>& records)
    { hear(records); };
}

void rollout_book::on_change(std::function<void()> action)
{
    m_on_change.push_back(std::move(action));
}

const rollout_record* rollout_book::find(const std::string& service) const
{
    const auto found = m_records.find(service);
    return found == m_records.end() ? nullptr : &found->second;
}

bool rollout_book::take(const rollout_record& offered, const std::string& from)
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
    // What another node decided step by step stands in that node's log.
    if (was == now.state && from == from_peer)
        return true;
    m_mesh.board.decisions.note(
        "rollout", service, now.reason.empty() ? from : now.reason,
        {{"release", now.order.release},
         {"state", name_of(now.state)},
         {"stage", name_of(now.stage)},
         {"settled", now.settled},
         {"suspects", json::value_from(now.suspects)},
         {"age_ms", to_ms(steady_clock::now() - now.begun)},
         {"from", from}});
    return true;
}

void rollout_book::learn(const rollout_record& offered, const char* from)
{
    if (!take(offered, from))
        return;
    fill_settled();
    tell_all({m_records.at(offered.order.service)}, key_range{});
    publish();
}

void rollout_book::hear(const std::vector<rollout_record>& offered)
{
    bool changed = false;
    for (const auto& each : offered)
        changed |= take(each, from_peer);
    if (!changed)
        return;
    fill_settled();
    publish();
}

std::vector<rollout_record> rollout_book::lively() const
{
    std::vector<rollout_record> told;
    for (const auto& [service, record] : m_records)
        if (!is_ended(record.state) ||
            steady_clock::now() < m_changed.at(service) + told_after_change)
            told.push_back(record);
    return told;
}

void rollout_book::note_members()
{
    note_lone_releases();
    fill_settled();
}

void rollout_book::note_lone_releases()
{
    bool changed = false;
    const auto now = steady_clock::now();
    for (const auto& [service, counts] : releases_in(m_mesh.members))
    {
        if (counts.size() != 1)
            continue;
        const auto& release = counts.begin()->first;
        auto& lone = m_lone[service];
        if (lone.release != release)
            lone = {release, now};
        auto& settled = m_settled[service];
        if (settled == release || now < lone.since + settles_after)
            continue;
        settled = release;
        changed = true;
    }
    if (changed)
        publish();
}

void rollout_book::fill_settled()
{
    for (auto& [service, record] : m_records)
    {
        if (!record.settled.empty())
            continue;
        const auto known = m_settled.find(service);
        if (known != m_settled.end() && !known->second.empty() &&
            !is_closed(record, known->second))
        {
            record.settled = known->second;
            continue;
        }
        std::size_t most = 0;
        const auto counts = releases_in(m_mesh.members);
        const auto of_service = counts.find(service);
        if (of_service == counts.end())
            continue;
        for (const auto& [release, count] : of_service->second)
            if (count > most && release != record.order.release &&
                !is_closed(record, release))
            {
                record.settled = release;
                most = count;
            }
    }
}

void rollout_book::publish()
{
    m_mesh.board.rollouts.set(rollout_view_ptr(
        new rollout_view(m_records, m_settled, m_mesh.config.exposure_share)));
    for (const auto& action : m_on_change)
        action();
}

void rollout_book::tell_all(const std::vector<rollout_record>& records,
                            const key_range& range)
{
    send_to_range(m_mesh,
                  {method::rollouts, traffic_kind::delta, tell_timeout,
                   [records](const key_range& part) {
                       return to_json(rollouts_message{records, part});
                   }},
                  range);
}

json::object rollout_book::on_told(const json::object& params)
{
    const auto message = rollouts_message_from_json(params);
    if (!is_meant_for(m_mesh.members.self(), message.range))
        return {{"e", name_of(error_code::invalid_argument)},
                {"d", "not this node's range"}};
    tell_all(message.records, message.range);
    hear(message.records);
    return {};
}

} // namespace tillerhall
