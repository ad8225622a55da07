/** @file When a node writes its row into a part that all nodes write into. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/time.hpp"

#include <cstddef>

namespace tillerhall
{

/**
 * The load it answers: all nodes start within a moment and each writes one row,
 * into a part that takes some hundred a second and refuses when a second's
 * worth waits. Tries that come back sooner than the part can empty are refused
 * as well, and each costs a call. So nobody asks for a turn, but each spreads
 * its tries over the time that all need: by the nodes that it knows and the
 * rate of the part, and over twice as long after each refusal while it knows
 * few, as a node does that has just started. Pure.
 */
class write_pace
{
public:
    /** @param per_s writes that the part takes a second */
    explicit write_pace(double per_s) noexcept
        : m_per_s(per_s)
    {
    }

    /** @return how long to wait before the first write of a node that starts
     * and knows of @p members; it is found without its row. */
    duration initial_delay(std::size_t members, random_source& random) const;

    /** The part had no room. @return how long to wait for the next try. */
    duration delay_after_refusal(std::size_t members, random_source& random);

    /** The part took a write. */
    void accepted() noexcept { m_refusals = 0; }

private:
    /** @return twice the time in which the part takes a write of each. */
    duration spread_for(std::size_t members) const;

    double m_per_s;
    unsigned m_refusals = 0; ///< since a write was taken
};

} // namespace tillerhall
