/** @file Decides whether a large answer could leave its host in time. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>

namespace tillerhall
{

/**
 * What is known of the host's link when a call with a large answer arrives.
 * Refuses calls whose answers would be late because the link is backlogged; the
 * runs for them would be wasted and short messages would wait behind the
 * answers. Answers of 90 KB that needed nine tenths of a link of 15 Mbit/s had
 * a backlog of 1.5 s and more, and heartbeats behind them timed out. Does no
 * I/O.
 */
struct answer_backlog
{
    duration ahead{};     ///< link time of the answers before this one
    duration run{};       ///< expected run time of this call
    duration own{};       ///< link time of this answer
    duration objective{}; ///< of this call
    duration elapsed{};   ///< since the client's first attempt; zero if this is
                          ///< the first

    /**
     * This fraction of the objective is a reserve: run times and answer sizes
     * vary by about half of their means, and the link of the other host and of
     * the client take time, too.
     */
    static constexpr int reserve_divisor = 4;
    /**
     * A call that would be late in any case is still taken while its answer
     * waits for no more than this fraction of the objective; a longer wait
     * would make other answers late.
     */
    static constexpr int late_wait_divisor = 8;

    /** @return the time from the end of the run until the answer has left. */
    duration wait() const
    {
        // The link continues to send earlier answers while the call runs.
        return std::max<duration>(duration::zero(), ahead - run) + own;
    }

    /** @return true if the call should be refused. */
    bool is_too_long() const
    {
        const auto in_time = objective - objective / reserve_divisor;
        if (elapsed + run + wait() <= in_time)
            return false;
        return wait() - own > objective / late_wait_divisor;
    }
};

} // namespace tillerhall
