/** @file Sheds calls at a target whose runs fail for want of what they call. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>
#include <cstdint>

namespace tillerhall
{

/**
 * A run that fails because a call of its own was refused has taken a slot
 * here and places further down for nothing. While more of the runs fail than
 * chance explains, about as large a share of the calls is shed: with two calls
 * a run, what is offered further down then falls to what is served there. The
 * share follows the runs of the last one to two seconds, however few a target
 * has, so that it ends soon after the cause. Pure.
 */
class failure_shedder
{
public:
    /** Of the last runs so many fail by chance, or from faults (a grey target
     * further down) that shedding does not mend. */
    static constexpr double free_share = 0.15;
    /** Past this the failures do not come from the load. */
    static constexpr double most_shed = 0.5;
    /** Two of these are looked back on. */
    static constexpr duration span = std::chrono::seconds(1);
    /** Fewer runs than this do not tell a share. */
    static constexpr double least_runs = 10;

    /** A run ended. */
    void ran(bool failed, time_point now) noexcept
    {
        turn(now);
        m_newest.runs += 1;
        m_newest.failed += failed ? 1 : 0;
    }

    /** @return the share of calls that is shed at @p now. */
    double share(time_point now) noexcept
    {
        turn(now);
        const double runs = m_newest.runs + m_before.runs;
        const double failed = m_newest.failed + m_before.failed;
        const double failing = failed / std::max(least_runs, runs);
        return std::clamp(failing - free_share, 0.0, most_shed);
    }

    /** @param point random in [0, 1) @return whether a call is shed now. */
    bool sheds(double point, time_point now) noexcept
    {
        return point < share(now);
    }

private:
    struct counts
    {
        double runs = 0;
        double failed = 0;
    };

    void turn(time_point now) noexcept
    {
        if (now < m_begin + span)
            return;
        m_before = now < m_begin + 2 * span ? m_newest : counts{};
        m_newest = {};
        m_begin = now;
    }

    counts m_newest;
    counts m_before;
    time_point m_begin{};
};

} // namespace tillerhall
