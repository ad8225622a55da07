#include "tillerhall/node/distribution_controller.hpp"
#include "tillerhall/observe/log.hpp"
#include "tillerhall/table/csv.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

// Pushes are acknowledged on receipt, so a short timeout detects a dead relay.
constexpr milliseconds push_timeout(700);
constexpr milliseconds pull_timeout(3000);
constexpr unsigned max_snapshots_served = 4;
// Member changes come in bursts; the route view is rebuilt once for each burst.
constexpr milliseconds publish_delay(10);

json::object refusal(error_code code, const std::string& detail)
{
    return {{"e", name_of(code)}, {"d", detail}};
}

} // namespace

distribution_controller::distribution_controller(mesh_state& mesh)
    : m_mesh(mesh)
    , m_strategy(**find_strategy(mesh.config.strategy))
    , m_gate([this](const config_table& table) { return names_known(table); },
             [this](const table_view& before, const table_view& after)
             { after_swap(before, after); })
{
}

void distribution_controller::add_methods()
{
    auto& server = m_mesh.server;
    server.add(method::push, traffic_kind::delta,
               [this](const json::object& p) { return on_push(p); });
    server.add(method::pull, traffic_kind::delta,
               [this](const json::object& p) { return on_pull(p); });
    server.add(method::snapshot, traffic_kind::snapshot,
               [this](const json::object& p) { return on_snapshot(p); });
    server.add(method::watch, traffic_kind::watch,
               [this](const json::object& p) { return on_watch(p); });
}

gate_decision distribution_controller::distribute(const table_update& update)
{
    const auto decision = offer(update);
    if (decision != gate_decision::old && decision != gate_decision::corrupt)
        deliver(update, key_range{});
    return decision;
}

gate_decision distribution_controller::offer(const table_update& update)
{
    const auto decision = m_gate.offer(update);
    count(decision, update);
    return decision;
}

void distribution_controller::count(gate_decision decision,
                                    const table_update& update)
{
    const std::string name(name_of(decision));
    m_mesh.board.metrics
        .get("tillerhall_updates_total", "decision=\"" + name + "\"")
        .add();
    if (decision == gate_decision::applied || decision == gate_decision::old)
        return;
    m_mesh.board.decisions.note(
        "held_or_dropped", "version " + std::to_string(update.version), name,
        {{"current", current()->version()}, {"held", m_gate.waiting()}});
}

bool distribution_controller::names_known(const config_table& table) const
{
    const auto& services = m_mesh.members.services();
    const auto& places = m_mesh.members.places();
    return std::ranges::all_of(table.rows(),
                               [&](const row& each)
                               {
                                   return services.contains(each.key.service) &&
                                          places.contains(each.key.place);
                               });
}

void distribution_controller::after_swap(const table_view& before,
                                         const table_view& after)
{
    auto& board = m_mesh.board;
    publish_routes();
    board.accepted_us = after.accepted_us();
    board.applied_us = wall_clock_us();
    const auto took_us = board.applied_us - after.accepted_us();
    board.metrics.histogram("tillerhall_convergence_ms")
        .record(static_cast<double>(took_us) / 1000.0);
    board.metrics.get("tillerhall_table_version")
        .set(static_cast<std::int64_t>(after.version()));
    if (after.version() == before.version() + 1)
        m_log.add({after.version(), after.digest(), before.digest(),
                   after.accepted_us(), diff(before.table(), after.table()),
                   std::nullopt});
    else
        m_log.clear();
    board.decisions.note("applied",
                         "version " + std::to_string(after.version()),
                         "digest and names checked",
                         {{"digest", after.digest()},
                          {"from_version", before.version()},
                          {"took_us", took_us}});
}

void distribution_controller::publish_routes()
{
    const route_view_ptr routes(new route_view(current(), m_mesh.members));
    m_mesh.board.routes.set(routes);
    if (m_mesh.routes_changed)
        m_mesh.routes_changed(*routes);
}

void distribution_controller::members_changed()
{
    if (m_publish_due)
        return;
    m_publish_due = true;
    m_mesh.on.spawn(
        [this]
        {
            sleep_for(m_mesh.on.io(), publish_delay);
            m_publish_due = false;
            m_gate.retry_waiting();
            publish_routes();
        });
}

void distribution_controller::deliver(const table_update& update,
                                      const key_range& range)
{
    auto parts = m_strategy.deliveries(
        range, m_mesh.members, static_cast<std::size_t>(m_mesh.config.fanout),
        m_mesh.random);
    for (auto& part : parts)
    {
        push_message message{m_mesh.members.self().rpc.text(), update,
                             part.range};
        m_mesh.on.spawn([this, message = std::move(message),
                         candidates = std::move(part.candidates)]
                        { deliver_part(message, candidates); });
    }
}

void distribution_controller::deliver_part(
    const push_message& message, const std::vector<address>& candidates)
{
    const auto params = to_json(message);
    for (const auto& each : candidates)
    {
        const auto answer = m_mesh.pool.call(
            {each, traffic_kind::delta, method::push, params, push_timeout});
        if (answer)
            return;
        m_mesh.board.metrics.get("tillerhall_push_failed_total").add();
    }
    // The other members of this part learn of the version from heartbeats.
    m_mesh.board.metrics.get("tillerhall_push_given_up_total").add();
}

json::object distribution_controller::on_push(const json::object& params)
{
    const auto message = push_from_json(params);
    if (!is_meant_for(m_mesh.members.self(), message.range))
        return refusal(error_code::invalid_argument, "not this node's range");
    const auto before = current()->version();
    const auto decision = offer(message.update);
    const bool is_new = message.update.version > before;
    const bool in_tree = message.range != key_range{};
    // In a tree only this node forwards to its range, so it must do so even if
    // it received the version by another path first.
    if (decision != gate_decision::corrupt &&
        (is_new || (in_tree && message.update.version == before)))
        deliver(message.update, message.range);
    const auto sender = address::parse(message.from);
    if (sender && (decision == gate_decision::missing_parent ||
                   decision == gate_decision::corrupt ||
                   decision == gate_decision::too_far))
        note_peer_version(message.update.version, *sender);
    return {{"v", current()->version()}};
}

void distribution_controller::note_peer_version(std::uint64_t version,
                                                const address& peer)
{
    m_gate.note_version(version);
    if (version <= current()->version() || m_pulling ||
        !m_strategy.pulls_from_peers())
        return;
    m_mesh.on.spawn([this, peer] { pull_now(peer); });
}

bool distribution_controller::pull_now(const address& peer)
{
    if (m_pulling)
        return false;
    m_pulling = true;
    const bool answered = pull_once(peer);
    m_pulling = false;
    return answered;
}

bool distribution_controller::pull_once(const address& peer)
{
    const auto answer = m_mesh.pool.call({peer,
                                          traffic_kind::delta,
                                          method::pull,
                                          {{"v", current()->version()}},
                                          pull_timeout});
    if (!answer)
        return false;
    try
    {
        const auto pulled = pull_answer_from_json(*answer);
        bool fits = true;
        for (const auto& update : pulled.updates)
            fits = offer(update) != gate_decision::corrupt && fits;
        if (pulled.needs_snapshot || !fits)
            return pull_snapshot(peer);
        return true;
    }
    catch (const std::exception&)
    {
        return false;
    }
}

bool distribution_controller::pull_snapshot(const address& peer)
{
    const auto answer = m_mesh.pool.call(
        {peer, traffic_kind::snapshot, method::snapshot, {}, pull_timeout});
    if (!answer)
        return false;
    const auto update = update_from_json(*answer);
    if (update)
        offer(*update);
    return static_cast<bool>(update);
}

json::object distribution_controller::on_pull(const json::object& params)
{
    const auto have = json::value_to<std::uint64_t>(params.at("v"));
    pull_answer answer;
    answer.version = current()->version();
    if (have >= answer.version)
        return to_json(answer);
    if (auto updates = m_log.since(have))
    {
        answer.updates = std::move(*updates);
        auto message = to_json(answer);
        // Many deltas can be larger than the table that results from them.
        if (json::serialize(message).size() <
                write_csv(current()->table()).size() ||
            answer.updates.size() == 1)
            return message;
        answer.updates.clear();
    }
    answer.needs_snapshot = true;
    return to_json(answer);
}

json::object distribution_controller::on_snapshot(const json::object&)
{
    if (m_snapshots_served >= max_snapshots_served)
    {
        m_mesh.board.metrics.get("tillerhall_snapshot_refused_total").add();
        return refusal(error_code::retry_later, "serving snapshots to others");
    }
    if (current()->version() == 0)
        return refusal(error_code::not_ready, "no table here yet");
    ++m_snapshots_served;
    // Decremented once the answer has had time to be sent.
    m_mesh.on.spawn(
        [this]
        {
            sleep_for(m_mesh.on.io(), milliseconds(50));
            --m_snapshots_served;
        });
    const auto& view = *current();
    return to_json(table_update{view.version(), view.digest(), "",
                                view.accepted_us(), std::nullopt,
                                write_csv(view.table())});
}

} // namespace tillerhall
