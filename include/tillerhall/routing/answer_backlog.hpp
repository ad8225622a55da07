/** @file Whether a call's answer could leave its host in time. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>

namespace tillerhall
{

/**
 * What is known of the link when a call with a large answer comes. Where
 * answers of 90 KB ask for nine tenths of a link of 15 Mbit/s, their backlog
 * grew to 1.5 s and more: runs were spent on answers that came late, and the
 * heartbeats behind them timed out. Pure.
 */
struct answer_backlog
{
    duration ahead{};     ///< the link takes for the answers before this one
    duration run{};       ///< expected, of this call
    duration own{};       ///< the link takes for this answer
    duration objective{}; ///< of this call
    duration elapsed{};   ///< since its client's first try, if that was before

    /** Runs and answers differ by about half of their means, and the other
     * host's link and the client's take time as well. */
    static constexpr int spare_part = 4;
    /** What is late in any case may take this part of the objective of a link
     * that is nearly idle; more of it would make others late. */
    static constexpr int late_part = 8;

    /** @return how long the answer waits for the link and is on it. */
    duration wait() const
    {
        // While the call runs the link goes on with what is before it.
        return std::max<duration>(duration::zero(), ahead - run) + own;
    }

    /** @return whether the call should be refused before it runs. */
    bool is_too_long() const
    {
        const auto in_time = objective - objective / spare_part;
        if (elapsed + run + wait() <= in_time)
            return false;
        return wait() - own > objective / late_part;
    }
};

} // namespace tillerhall
