/** @file Membership controller: broadcast of member records. */
#include "tillerhall/distribution/reader_choice.hpp"
#include "tillerhall/node/membership_controller.hpp"
#include "tillerhall/node/range_send.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr milliseconds announce_timeout(700);
// Announcements within this time share a broadcast. When many nodes start at
// once each node receives each record once, instead of many times as a rumor.
constexpr milliseconds min_batch_delay(100);
// Delay per member: bounds the messages that each node receives per second from
// one failure domain, however many nodes start at once.
constexpr std::chrono::microseconds batch_delay_per_member(250);

} // namespace

std::optional<address> membership_controller::batching_member() const
{
    const auto fanout = static_cast<std::size_t>(m_mesh.config.fanout);
    const auto in_two_steps = 1 + fanout + fanout * fanout;
    if (m_mesh.members.live_count() <= in_two_steps)
        return std::nullopt;
    const auto& own = m_mesh.members.self();
    for (const auto& each : best_readers(m_mesh.members))
        if (const auto* known = m_mesh.members.find(each);
            known != nullptr && known->place == own.place)
            return each;
    return own.rpc;
}

void membership_controller::announce_to_all(const std::vector<member>& records)
{
    const auto batcher = batching_member();
    if (!batcher)
        return broadcast({records, key_range{}});
    if (*batcher == m_mesh.members.self().rpc)
        return add_to_batch(records);
    m_mesh.on.spawn(
        [this, records, batcher = *batcher]
        {
            const auto params = to_json(announce_message{records, key_range{}});
            if (!m_mesh.pool.call({batcher, traffic_kind::membership,
                                   method::gather, params, announce_timeout}))
                broadcast({records, key_range{}});
        });
}

json::object membership_controller::on_gather(const json::object& params)
{
    const auto message = announce_from_json(params);
    merge_all(message.records, "announcement", propagation::none);
    add_to_batch(message.records);
    return {};
}

duration membership_controller::batch_delay() const
{
    const auto members = static_cast<std::int64_t>(m_mesh.members.live_count());
    return std::max<duration>(min_batch_delay,
                              batch_delay_per_member * members);
}

void membership_controller::add_to_batch(const std::vector<member>& records)
{
    const bool is_scheduled = !m_batch.empty();
    for (const auto& each : records)
        m_batch.insert(each.rpc);
    if (is_scheduled)
        return; // part of the broadcast that is already scheduled
    m_mesh.on.spawn(
        [this]
        {
            sleep_for(m_mesh.on.io(), batch_delay());
            announce_message message;
            for (const auto& each : m_batch)
                if (const auto* record = m_mesh.members.find(each))
                    message.records.push_back(*record);
            m_batch.clear();
            broadcast(message);
        });
}

void membership_controller::broadcast(const announce_message& message)
{
    send_to_range(m_mesh,
                  {method::announce, traffic_kind::membership, announce_timeout,
                   [records = message.records](const key_range& part) {
                       return to_json(announce_message{records, part});
                   }},
                  message.range);
}

json::object membership_controller::on_announce(const json::object& params)
{
    const auto message = announce_from_json(params);
    if (!is_meant_for(m_mesh.members.self(), message.range))
        return {{"e", name_of(error_code::invalid_argument)},
                {"d", "not this node's range"}};
    m_mesh.board.metrics.get("tillerhall_member_news_total").add();
    merge_all(message.records, "announcement", propagation::none);
    broadcast(message);
    return {};
}

} // namespace tillerhall
