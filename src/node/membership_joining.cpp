/** @file Membership controller: joining and anti-entropy synchronization. */
#include "tillerhall/node/membership_controller.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr std::chrono::seconds join_timeout(3);

} // namespace

void membership_controller::sync_with(const address& peer)
{
    m_mesh.board.metrics.get("tillerhall_member_syncs_total").add();
    const auto answer =
        m_mesh.pool.call({peer, traffic_kind::membership, method::sync,
                          to_json(m_mesh.members.buckets()), join_timeout});
    if (!answer)
        return;
    try
    {
        const auto read = sync_answer_from_json(*answer);
        m_mesh.members.learn_names(read.services, read.places);
        merge_all(read.members, "sync", propagation::none);
        spread_newer_records(read);
    }
    catch (const std::exception&)
    {
        m_mesh.board.metrics.get("tillerhall_rpc_bad_message_total").add();
    }
}

void membership_controller::spread_newer_records(const sync_answer& theirs)
{
    std::map<address, member> known;
    for (const auto& each : theirs.members)
        known[each.rpc] = each;
    for (const auto index : theirs.differing)
        for (const auto& own : m_mesh.members.bucket(index))
        {
            const auto found = known.find(own.rpc);
            if (found == known.end() || supersedes(own, found->second))
                m_mesh.rumors.add(own.rpc);
        }
}

json::object membership_controller::on_sync(const json::object& params)
{
    const auto theirs = buckets_from_json(params);
    const auto& ours = m_mesh.members.buckets();
    sync_answer answer;
    answer.services = m_mesh.members.services();
    answer.places = m_mesh.members.places();
    for (std::size_t i = 0; i < theirs.size(); ++i)
    {
        if (theirs[i] == ours[i])
            continue;
        answer.differing.push_back(i);
        const auto bucket = m_mesh.members.bucket(i);
        answer.members.insert(answer.members.end(), bucket.begin(),
                              bucket.end());
    }
    return to_json(answer);
}

bool membership_controller::join_through(const std::vector<address>& peers,
                                         std::size_t max_answers)
{
    struct joined
    {
        address peer;
        join_answer answer;
    };
    std::vector<joined> answers;
    for (const auto& peer : peers)
    {
        if (answers.size() == max_answers)
            break;
        if (peer == m_mesh.members.self().rpc)
            continue;
        // One peer is enough to announce this node to the others.
        const join_request request{m_mesh.members.self(), answers.empty()};
        const auto answer =
            m_mesh.pool.call({peer, traffic_kind::membership, method::join,
                              to_json(request), join_timeout});
        try
        {
            if (answer)
                answers.push_back({peer, join_answer_from_json(*answer)});
        }
        catch (const std::exception&)
        {
            continue; // another peer may send a well-formed answer
        }
    }
    // Greatest version first, so that the others need not be pulled from.
    std::ranges::sort(answers, std::greater<>(),
                      [](const joined& each) { return each.answer.version; });
    for (const auto& [peer, answer] : answers)
    {
        m_mesh.members.learn_names(answer.services, answer.places);
        // Before the members, so that limits on a release's exposure are known
        // when its targets are.
        if (m_mesh.on_rollouts && !answer.rollouts.empty())
            m_mesh.on_rollouts(answer.rollouts);
        merge_all(answer.members, "join", propagation::none);
        m_freshness.note_peer_read(answer.source_age_ms, steady_clock::now());
        m_tables.note_version(
            std::max(answer.version, answer.last_reported_version));
    }
    for (const auto& [peer, answer] : answers)
        if (answer.version > m_tables.current()->version())
            m_tables.pull_now(peer);
    return !answers.empty();
}

json::object membership_controller::on_join(const json::object& params)
{
    const auto request = join_request_from_json(params);
    const auto& joiner = request.joiner.rpc;
    merge(request.joiner, "join", propagation::none);
    join_answer answer;
    answer.members = m_mesh.members.all();
    answer.services = m_mesh.members.services();
    answer.places = m_mesh.members.places();
    if (m_mesh.rollouts_to_send)
        answer.rollouts = m_mesh.rollouts_to_send();
    answer.version = m_tables.current()->version();
    answer.source_age_ms = m_freshness.age_ms(steady_clock::now());
    if (const auto seen = m_versions_seen.find(joiner);
        seen != m_versions_seen.end())
        answer.last_reported_version = seen->second;
    if (request.announce_to_others)
        announce_join(joiner);
    return to_json(answer);
}

void membership_controller::announce_join(const address& joiner)
{
    const auto* record = m_mesh.members.find(joiner);
    if (record == nullptr)
        return;
    if (batching_member())
        announce_to_all({*record});
    else
        add_to_batch({*record});
}

} // namespace tillerhall
