/** @file Which peer a node sends its next heartbeat to. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/membership/member_list.hpp"

#include <optional>

namespace tillerhall
{

/**
 * Heartbeats go in turn to a ring successor and to a random live member.
 *
 * The ring (members in order of the hash of their address) gives every node
 * a bounded, known set of watchers; the random ones mix news through the
 * mesh in O(log N) rounds (Demers et al., PODC 1987) and repair what the
 * broadcast missed. Every so often a dead member is tried, so that a mesh
 * that was cut in two finds itself again.
 */
class heartbeat_schedule
{
public:
    static constexpr std::size_t successors = 3;
    static constexpr std::uint64_t dead_every = 10; ///< turns

    /** @return whom to send the next heartbeat to, if there is anyone. */
    std::optional<address> next(const member_list& members,
                                random_source& random);

    /** @return the ring successors of this node that still run. */
    static std::vector<address> ring_successors(const member_list& members);

private:
    std::uint64_t m_turn = 0;
};

} // namespace tillerhall
