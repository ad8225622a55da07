/** @file Spreads the writes of all nodes into one partition of the store. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/time.hpp"

#include <cstddef>

namespace tillerhall
{

/**
 * Handles a start of all nodes: each writes one row into the same partition,
 * which accepts a limited number of writes per second and refuses when a
 * second's worth is queued. Each node delays its attempts by a random time
 * within the span that all nodes need, from the number of known nodes and the
 * rate of the partition. The span doubles after each refusal, since a node that
 * has just started knows few others. Does no I/O.
 */
class write_pace
{
public:
    /** @param per_s writes per second that the partition accepts */
    explicit write_pace(double per_s) noexcept
        : m_per_s(per_s)
    {
    }

    /** Returns the delay before the first write of a node that knows @p
     * members, which also know it before its row is written. */
    duration initial_delay(std::size_t members, random_source& random) const;

    /** Notes that the partition refused a write. @return the delay before the
     * next attempt. */
    duration delay_after_refusal(std::size_t members, random_source& random);

    /** Notes that the partition accepted a write. */
    void accepted() noexcept { m_refusals = 0; }

private:
    /** Returns the span in which each member can write once at the share of the
     * partition's rate that is used. */
    duration spread_for(std::size_t members) const;

    double m_per_s;
    unsigned m_refusals = 0; ///< in a row
};

} // namespace tillerhall
