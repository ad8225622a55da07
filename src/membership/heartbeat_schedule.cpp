#include "tillerhall/membership/heartbeat_schedule.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>
#include <functional>

namespace tillerhall
{
namespace
{

struct ring_point
{
    std::uint64_t distance; ///< clockwise from this node
    const keyed_member* node;
};

/** @return a random member other than this node that satisfies @p wanted. */
template <class Predicate>
std::optional<address>
pick(const member_list& members, random_source& random, Predicate wanted)
{
    const auto& self = members.self().rpc;
    const auto fits = [&](const keyed_member& each)
    { return wanted(*each.record) && each.record->rpc != self; };
    const auto& all = members.ordered();
    const auto count = std::ranges::count_if(all, fits);
    if (count == 0)
        return std::nullopt;
    auto left = random.below(static_cast<std::uint64_t>(count));
    const auto picked =
        std::ranges::find_if(all, [&](const keyed_member& each)
                             { return fits(each) && left-- == 0; });
    return picked->record->rpc;
}

bool is_dead(const member& checked)
{
    return checked.state == member_state::dead;
}

} // namespace

std::vector<address>
heartbeat_schedule::ring_successors(const member_list& members)
{
    const auto& self = members.self().rpc;
    const auto origin = stable_hash(self.text());
    std::vector<ring_point> ring;
    for (const auto& each : members.ordered())
        if (is_live(*each.record) && each.record->rpc != self)
            ring.push_back({each.ring - origin, &each});
    const auto kept = std::min(successors, ring.size());
    std::ranges::partial_sort(ring, ring.begin() + static_cast<long>(kept), {},
                              &ring_point::distance);
    std::vector<address> nearest;
    for (std::size_t i = 0; i < kept; ++i)
        nearest.push_back(ring[i].node->record->rpc);
    return nearest;
}

std::optional<address> heartbeat_schedule::next(const member_list& members,
                                                random_source& random)
{
    const auto heartbeat = m_heartbeats++;
    if (heartbeat % dead_member_period == dead_member_period - 1)
        if (auto dead_member = pick(members, random, is_dead))
            return dead_member;
    if (heartbeat % 2 == 0)
        if (const auto nearest = ring_successors(members); !nearest.empty())
            return nearest[heartbeat / 2 % nearest.size()];
    return pick(members, random, std::not_fn(is_dead));
}

} // namespace tillerhall
