/** @file How fast a target works now, and worked during a run. */
#pragma once

#include "tillerhall/routing/target_load.hpp"

namespace tillerhall
{

/**
 * Follows the slowness that a target reports: the duration of work there
 * relative to the usual. Answers a target that is slow for parts of a second,
 * which run times alone show only after whole runs. Does no I/O.
 */
class slowness_tracker
{
public:
    /** State at the begin of a run, see `usual_run`. */
    struct mark
    {
        time_point at{};
        duration usual{};   ///< work done at usual speed while reports counted
        duration covered{}; ///< time for which reports counted
    };

    /** Takes a report. Reports may cross: one received earlier is ignored. */
    void take(double slowness, time_point received);

    /** Forgets all reports: another start of the target is in use. */
    void reset();

    /** @return the present slowness; 1 without a recent report. */
    double slowness(time_point now) const noexcept;

    mark begin(time_point now) const noexcept;

    /**
     * @return how long a run from @p from until @p now would have taken at
     * usual speed. The time without a recent report counts with the present
     * slowness, which the response to the run has just named.
     */
    duration usual_run(const mark& from, time_point now) const noexcept;

private:
    mark m_reported; ///< until the last report
    double m_slowness = 1;
    bool m_has_report = false;
};

} // namespace tillerhall
