/**
 * @file Sheds calls to a target whose runs fail because services it calls are
 * full.
 */
#pragma once

#include "tillerhall/core/recent_window.hpp"

#include <algorithm>
#include <cstdint>

namespace tillerhall
{

/**
 * Sheds a share of the calls to a target while its runs fail because their own
 * calls are refused for lack of capacity. Such runs waste a slot here and
 * capacity at the services they call.
 *
 * The share grows with the failures beyond those expected by chance. Only
 * failures that are due to a lack of capacity count: shedding would not lower
 * the share of failed runs where calls fail for other reasons. The share
 * follows the last one to two seconds, however few runs there are, so that
 * shedding stops soon after the cause is gone. Does no I/O.
 */
class failure_shedder
{
public:
    /** Share of failed runs that is taken to be chance. */
    static constexpr double chance_share = 0.15;
    /** Upper limit of the shed share; beyond it the load is not the cause. */
    static constexpr double max_shed = 0.5;
    /** The counts cover the current span and the one before it. */
    static constexpr duration span = std::chrono::seconds(1);
    /** With fewer runs the failures are divided by this number. */
    static constexpr double min_runs = 10;

    /** Counts a finished run. */
    void ran(bool failed, time_point now)
    {
        auto& counted = m_counts.current(now);
        counted.runs += 1;
        counted.failed += failed ? 1 : 0;
    }

    /** Counts a call of this host that got no answer. */
    void call_failed(bool is_capacity_lacking, time_point now)
    {
        auto& counted = m_counts.current(now);
        counted.calls_failed += 1;
        counted.lacked_capacity += is_capacity_lacking ? 1 : 0;
    }

    /** @return the share of calls to shed at @p now. */
    double share(time_point now)
    {
        const auto& previous = m_counts.previous(now);
        const auto& current = m_counts.current(now);
        const double runs = current.runs + previous.runs;
        const double failed = current.failed + previous.failed;
        const double failing = failed / std::max(min_runs, runs);
        const double calls = current.calls_failed + previous.calls_failed;
        const double lacking =
            current.lacked_capacity + previous.lacked_capacity;
        const double by_load = lacking / std::max(1.0, calls);
        return std::clamp((failing - chance_share) * by_load, 0.0, max_shed);
    }

    /**
     * @param point random in [0, 1)
     * @return true if a call should be shed now.
     */
    bool sheds(double point, time_point now) { return point < share(now); }

private:
    struct counts
    {
        double runs = 0;
        double failed = 0;
        double calls_failed = 0;
        double lacked_capacity = 0;
    };

    recent_window<counts> m_counts{span};
};

} // namespace tillerhall
