#include "tillerhall/membership/heartbeat_schedule.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

struct ring_point
{
    std::uint64_t distance; ///< clockwise from this node
    address node;
};

std::optional<address> pick(const std::vector<address>& from,
                            random_source& random)
{
    if (from.empty())
        return std::nullopt;
    return from[random.below(from.size())];
}

/** @return the addresses of the other members that fulfil @p wanted. */
template <class Predicate>
std::vector<address> others(const member_list& members, Predicate wanted)
{
    std::vector<address> found;
    for (const auto& each : members.all())
        if (each.rpc != members.self().rpc && wanted(each))
            found.push_back(each.rpc);
    return found;
}

} // namespace

std::vector<address>
heartbeat_schedule::ring_successors(const member_list& members)
{
    const auto origin = stable_hash(members.self().rpc.text());
    std::vector<ring_point> ring;
    for (const auto& node : others(members, is_live))
        ring.push_back({stable_hash(node.text()) - origin, node});
    const auto kept = std::min(successors, ring.size());
    std::ranges::partial_sort(ring, ring.begin() + static_cast<long>(kept), {},
                              &ring_point::distance);
    std::vector<address> nearest;
    for (std::size_t i = 0; i < kept; ++i)
        nearest.push_back(ring[i].node);
    return nearest;
}

std::optional<address> heartbeat_schedule::next(const member_list& members,
                                                random_source& random)
{
    const auto turn = m_turn++;
    const auto dead = [](const member& each)
    { return each.state == member_state::dead; };
    if (turn % dead_every == dead_every - 1)
        if (auto lost = pick(others(members, dead), random))
            return lost;
    const auto nearest = ring_successors(members);
    if (turn % 2 == 0 && !nearest.empty())
        return nearest[turn / 2 % nearest.size()];
    const auto not_dead = [](const member& each)
    { return each.state != member_state::dead; };
    return pick(others(members, not_dead), random);
}

} // namespace tillerhall
