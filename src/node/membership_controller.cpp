#include "tillerhall/node/membership_controller.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds announce_timeout(700);
constexpr double refutations_per_s = 1;
constexpr double refutation_burst = 3;
constexpr double syncs_per_s = 0.5;
constexpr double sync_burst = 2;
// Rumors take a few rounds to reach all; a sync repairs what they missed.
constexpr unsigned differences_before_sync = 3;
constexpr int stall_heartbeats = 4;
constexpr milliseconds min_stall_limit(2000);
constexpr std::chrono::minutes dead_retention(10);
// Peers drop crashes and good runs earlier than the node that reports them,
// whose clock may differ. Else they would add entries that this node has just
// removed to its newer record.
constexpr duration evidence_accepted =
    crash_evidence_kept - std::chrono::minutes(1);

} // namespace

membership_controller::membership_controller(mesh_state& mesh,
                                             distribution_controller& tables)
    : m_mesh(mesh)
    , m_tables(tables)
    , m_suspicion({milliseconds(mesh.config.suspect_ms)})
    , m_sync_limiter(syncs_per_s, sync_burst)
    , m_refutation_limiter(refutations_per_s, refutation_burst)
{
    const auto heartbeat_period = milliseconds(mesh.config.heartbeat_ms);
    mesh.board.control.set_limit(std::max<duration>(
        heartbeat_period * stall_heartbeats, min_stall_limit));
}

void membership_controller::add_methods()
{
    auto& server = m_mesh.server;
    server.add(method::heartbeat, traffic_kind::heartbeat,
               [this](const json::object& p) { return on_heartbeat(p); });
    server.add(method::join, traffic_kind::membership,
               [this](const json::object& p) { return on_join(p); });
    server.add(method::sync, traffic_kind::membership,
               [this](const json::object& p) { return on_sync(p); });
    server.add(method::announce, traffic_kind::membership,
               [this](const json::object& p) { return on_announce(p); });
    server.add(method::gather, traffic_kind::membership,
               [this](const json::object& p) { return on_gather(p); });
}

void membership_controller::start()
{
    m_mesh.on.spawn([this] { heartbeat_loop(); });
}

void membership_controller::heartbeat_loop()
{
    while (true)
    {
        // Jitter of +-5 % keeps nodes from sending in lockstep.
        const auto base = m_mesh.config.heartbeat_ms;
        const auto jitter = static_cast<std::int64_t>(
            m_mesh.random.below(static_cast<std::uint64_t>(base / 10 + 1)));
        sleep_for(m_mesh.on.io(), milliseconds(base + jitter - base / 20));
        m_mesh.members.set_now(steady_clock::now(),
                               wall_clock_ms() - to_ms(evidence_accepted));
        if (m_mesh.board.control.is_stalled())
            resume();
        m_mesh.board.control.tick();
        m_mesh.on.spawn([this] { send_heartbeat(); });
        expire_suspects();
        forget_own_evidence();
    }
}

void membership_controller::forget_own_evidence()
{
    auto self = m_mesh.members.self();
    if (forget_crash_evidence(self,
                              wall_clock_ms() - to_ms(crash_evidence_kept)))
        announce_self(self);
}

void membership_controller::resume()
{
    auto& board = m_mesh.board;
    if (is_stopping(board.phase))
        return;
    const auto before = board.phase.exchange(node_phase::resuming);
    board.decisions.note("resuming", m_mesh.members.self().rpc.text(),
                         "the process was paused",
                         {{"quiet_ms", board.control.ms_since_tick()}});
    // The node stays in this phase until a peer has sent the current state. A
    // node that is alone in the mesh has no peer to ask.
    while (m_mesh.members.live_count() > 1)
    {
        const auto asked = random_peers(peers_asked);
        if (join_through(asked))
            break;
        for (const auto& each : asked)
            connect_failed(each);
        sleep_for(m_mesh.on.io(), milliseconds(m_mesh.config.heartbeat_ms));
        expire_suspects();
    }
    // A stop that was requested meanwhile stays in force.
    auto resuming = node_phase::resuming;
    board.phase.compare_exchange_strong(resuming, before);
}

std::vector<address> membership_controller::random_peers(std::size_t count)
{
    std::vector<address> peers;
    for (const auto& each : m_mesh.members.all())
        if (each.rpc != m_mesh.members.self().rpc &&
            each.state != member_state::dead)
            peers.push_back(each.rpc);
    std::ranges::shuffle(peers, m_mesh.random);
    peers.resize(std::min(count, peers.size()));
    return peers;
}

heartbeat_message membership_controller::make_heartbeat()
{
    heartbeat_message message;
    message.version = m_tables.current()->version();
    message.routes_version = m_mesh.board.call_map.get()->version();
    message.members_digest = m_mesh.members.digest();
    message.source_age_ms = m_freshness.age_ms(steady_clock::now());
    message.rumors = m_mesh.rumors.take(m_mesh.members);
    if (m_mesh.rollouts_to_send)
        message.rollouts = m_mesh.rollouts_to_send();
    return message;
}

void membership_controller::send_heartbeat()
{
    auto peer = m_schedule.next(m_mesh.members, m_mesh.random);
    if (!m_unknown_hosts.empty())
    {
        peer = m_unknown_hosts.back();
        m_unknown_hosts.pop_back();
    }
    if (!peer)
        return;
    auto message = make_heartbeat();
    message.from = m_mesh.members.self().rpc.text();
    const auto* known = m_mesh.members.find(*peer);
    const auto incarnation = known == nullptr ? 0 : known->incarnation;
    const auto verified = m_verified.find(*peer);
    message.asks_identity =
        verified == m_verified.end() || verified->second != incarnation;
    const auto answer = m_mesh.pool.call(
        {*peer, traffic_kind::heartbeat, method::heartbeat, to_json(message),
         milliseconds(m_mesh.config.heartbeat_timeout_ms)});
    if (!answer)
        return connect_failed(*peer);
    m_suspicion.answered(*peer);
    try
    {
        const auto read = heartbeat_from_json(*answer);
        if (message.asks_identity && read.from != peer->text())
            return mark_replaced(*peer, read.from);
        m_verified[*peer] = incarnation;
        if (read.sender_unknown)
            m_mesh.rumors.add(m_mesh.members.self().rpc);
        handle_heartbeat(read, *peer);
    }
    catch (const std::exception&)
    {
        m_mesh.board.metrics.get("tillerhall_rpc_bad_message_total").add();
    }
}

void membership_controller::connect_failed(const address& node)
{
    m_mesh.board.metrics.get("tillerhall_heartbeat_failed_total").add();
    if (!m_suspicion.failed(m_mesh.members, node, steady_clock::now()))
        return;
    m_mesh.rumors.add(node);
    m_tables.members_changed();
    m_mesh.board.decisions.note("suspected", node.text(),
                                "no answer to a heartbeat");
}

void membership_controller::mark_replaced(const address& node,
                                          const std::string& advertised)
{
    // The process there advertises another address now, so the record belongs
    // to a process that has ended.
    if (m_mesh.members.accuse(node, member_state::dead) !=
        merge_result::changed)
        return;
    m_mesh.rumors.add(node);
    m_tables.members_changed();
    m_mesh.board.decisions.note("found_dead", node.text(),
                                "the process there advertises " + advertised);
}

void membership_controller::expire_suspects()
{
    const auto now = steady_clock::now();
    for (const auto& each : m_suspicion.expire(m_mesh.members, now))
    {
        m_mesh.rumors.add(each);
        m_tables.members_changed();
        m_mesh.board.decisions.note("found_dead", each.text(),
                                    "suspect did not refute in time");
    }
    m_mesh.members.forget_dead(now - dead_retention);
    std::erase_if(m_verified, [this](const auto& each)
                  { return m_mesh.members.find(each.first) == nullptr; });
    std::erase_if(m_versions_seen, [this](const auto& seen)
                  { return m_mesh.members.find(seen.first) == nullptr; });
}

void membership_controller::handle_heartbeat(const heartbeat_message& message,
                                             const address& peer)
{
    merge_all(message.rumors, "heartbeat", propagation::by_rumor);
    m_freshness.note_peer_read(message.source_age_ms, steady_clock::now());
    auto& seen = m_versions_seen[peer];
    seen = std::max(seen, message.version);
    m_tables.note_peer_version(message.version, peer);
    if (m_mesh.on_routes_version)
        m_mesh.on_routes_version(message.routes_version, peer);
    if (m_mesh.on_rollouts && !message.rollouts.empty())
        m_mesh.on_rollouts(message.rollouts);
    const bool no_rumors = message.rumors.empty() && m_mesh.rumors.size() == 0;
    const bool differs = message.members_digest != m_mesh.members.digest();
    m_consecutive_differences =
        differs && no_rumors ? m_consecutive_differences + 1 : 0;
    if (m_consecutive_differences < differences_before_sync ||
        !m_sync_limiter.take(steady_clock::now()))
        return;
    m_consecutive_differences = 0;
    m_mesh.on.spawn([this, peer] { sync_with(peer); });
}

json::object membership_controller::on_heartbeat(const json::object& params)
{
    const auto message = heartbeat_from_json(params);
    const auto peer = address::parse(message.from);
    if (!peer)
        return {{"e", name_of(peer.reason().code())},
                {"d", peer.reason().detail()}};
    // Merges the sender's own record first, so that it is found below.
    handle_heartbeat(message, *peer);
    auto answer = make_heartbeat();
    if (message.asks_identity)
        answer.from = m_mesh.members.self().rpc.text();
    answer.sender_unknown = m_mesh.members.find(*peer) == nullptr;
    const auto* known = m_mesh.members.find(*peer);
    if (known != nullptr && !is_live(*known))
        answer.rumors.push_back(*known); // so that it can refute
    return to_json(answer);
}

void membership_controller::announce_self(member_state state,
                                          target_state target_is)
{
    auto changed = m_mesh.members.self();
    changed.state = state;
    changed.target_is = target_is;
    announce_self(changed);
}

bool membership_controller::send_self_record(const address& peer)
{
    const auto* record = m_mesh.members.find(peer);
    if (record == nullptr)
        return false;
    // The range holds only the peer, so it forwards the record to nobody.
    const auto key = key_of(*record);
    const auto params =
        to_json(announce_message{{m_mesh.members.self()}, key_range{key, key}});
    return m_mesh.pool
        .call({peer, traffic_kind::membership, method::announce, params,
               announce_timeout})
        .has_value();
}

void membership_controller::merge_stored(const std::vector<member>& records)
{
    merge_all(records, "store", propagation::none);
}

void membership_controller::announce_self(const member& changed)
{
    const auto before = m_mesh.members.change_count();
    m_mesh.members.replace_self(changed);
    if (m_mesh.members.change_count() == before)
        return;
    m_mesh.rumors.add(m_mesh.members.self().rpc);
    m_tables.members_changed();
    announce_to_all({m_mesh.members.self()});
}

void membership_controller::contact_unknown(const std::vector<address>& hosts)
{
    for (const auto& host : hosts)
        if (m_mesh.members.find(host) == nullptr &&
            std::ranges::find(m_unknown_hosts, host) == m_unknown_hosts.end())
            m_unknown_hosts.push_back(host);
}

void membership_controller::merge_all(const std::vector<member>& records,
                                      const char* source,
                                      propagation propagate)
{
    for (const auto& each : records)
        merge(each, source, propagate);
}

void membership_controller::merge(const member& record,
                                  const char* source,
                                  propagation propagate)
{
    m_mesh.members.set_now(steady_clock::now(),
                           wall_clock_ms() - to_ms(evidence_accepted));
    const auto* known = m_mesh.members.find(record.rpc);
    const bool was_dead =
        known != nullptr && known->state == member_state::dead;
    const auto merged = m_mesh.members.merge(record);
    if (merged == merge_result::unchanged)
        return;
    // Records from a broadcast, a join or a sync are known to most members;
    // only those from heartbeats, and refutations, are passed on.
    if (propagate == propagation::by_rumor || merged == merge_result::refute)
        m_mesh.rumors.add(record.rpc);
    m_tables.members_changed();
    m_mesh.board.metrics
        .get("tillerhall_member_changes_total",
             std::string("source=\"") + source + "\"")
        .add();
    if (merged == merge_result::refute)
        refute(record);
    else if (was_dead)
        m_mesh.board.decisions.note("returned", record.rpc.text(), source);
}

void membership_controller::refute(const member& accusation)
{
    m_mesh.board.decisions.note(
        "refuted", accusation.rpc.text(),
        "another node reported this node suspect or dead",
        {{"state", name_of(accusation.state)}});
    // Rumors don't suffice after a pause: they would be spent on answers to
    // heartbeats whose senders have timed out.
    if (m_refutation_limiter.take(steady_clock::now()))
        broadcast({{m_mesh.members.self()}, key_range{}});
}

} // namespace tillerhall
