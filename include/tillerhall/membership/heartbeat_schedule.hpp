/** @file Selects the peer for the next heartbeat. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/membership/member_list.hpp"

#include <optional>

namespace tillerhall
{

/**
 * Alternates between a ring successor and a random member that isn't dead.
 *
 * The ring (members ordered by the hash of their address) gives each node a
 * bounded set of monitors. The random peers spread rumors in O(log N) rounds
 * (Demers et al., PODC 1987) and reach members that a broadcast missed.
 * Periodically a dead member is contacted, so that a partitioned mesh merges
 * again once the partition heals.
 */
class heartbeat_schedule
{
public:
    static constexpr std::size_t successors = 3;
    static constexpr std::uint64_t dead_member_period = 10; ///< heartbeats

    /** @return the peer for the next heartbeat, or nullopt if there is none. */
    std::optional<address> next(const member_list& members,
                                random_source& random);

    /** @return the nearest live ring successors of this node. */
    static std::vector<address> ring_successors(const member_list& members);

private:
    std::uint64_t m_heartbeats = 0;
};

} // namespace tillerhall
