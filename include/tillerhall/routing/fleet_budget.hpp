/** @file One node's part of a bound on second sends of the whole fleet. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>

namespace tillerhall
{

/** The bound over all nodes, for each service and any window. */
struct fleet_budget_limits
{
    double ratio = 0.2; ///< second arrivals for each call
    double extra = 10;  ///< second arrivals beyond that, fleet-wide
    duration window = std::chrono::seconds(10);
};

/**
 * Spends second sends of one service so that the sum over all nodes keeps the
 * fleet's bound in every window without any message between them.
 *
 * A bucket that holds at most this node's part of the extra and gains a share
 * of `ratio` with each own call. In any window a node spends at most its
 * bucket and its gains, so the fleet spends at most extra + ratio x calls. A
 * bucket begins empty: a fleet that restarts again and again gains nothing.
 * Pure; not safe for threads.
 */
class fleet_budget
{
public:
    /** Part of the bound that is spent. The rest is for what a node cannot
     * see: members it does not know yet, and repeats that its calls cause
     * further down. */
    static constexpr double spent_part = 0.5;

    /** A call of the service began here. */
    void call(const fleet_budget_limits& limits, std::size_t members);

    /** @return whether one second send may be made; if so it is counted. */
    bool take();

    /** A send that was counted never reached a target. */
    void give_back() { m_saved += 1; }

    double saved() const noexcept { return m_saved; }

private:
    double m_saved = 0;
};

} // namespace tillerhall
