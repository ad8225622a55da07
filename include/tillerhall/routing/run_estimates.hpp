/** @file Estimates the run times of each class of work at a target. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <algorithm>
#include <map>

namespace tillerhall
{

/**
 * Decaying means of the run times at one target by class of work. Run times
 * differ much between classes, so one mean would be wrong for all. Does no I/O.
 */
class run_estimates
{
public:
    /**
     * The newest run has a weight of 1 / mean_runs, more while fewer have
     * ended. Runs vary by about their mean, so 32 of them give the mean to
     * about an eighth.
     */
    static constexpr int mean_runs = 32;

    void ran(const work_class& work, duration took)
    {
        auto& known = m_known[work];
        known.runs = std::min(known.runs + 1, mean_runs);
        const auto off = took - known.mean;
        known.mean += off / known.runs;
        known.spread += (std::chrono::abs(off) - known.spread) / mean_runs;
    }

    /**
     * Before any run has ended, a run is taken to need its objective divided by
     * this number: usual objectives leave time for a wait and a retry. With an
     * expected time of zero, a target that has just started would admit every
     * call until its first run ends.
     */
    static constexpr int unknown_run_divisor = 4;

    /**
     * @param mean mean of all runs at the target; zero before the first has
     * ended
     * @return the expected run time of @p work.
     */
    duration expected(const work_class& work, duration mean) const
    {
        const duration guessed = work.objective / unknown_run_divisor;
        return of(work, mean > duration::zero() ? mean : guessed);
    }

    /**
     * @return the mean run time of @p work, or @p unknown if none has ended.
     */
    duration of(const work_class& work, duration unknown) const
    {
        const auto found = m_known.find(work);
        return found == m_known.end() ? unknown : found->second.mean;
    }

    /** @return the decaying mean deviation from the mean; zero before the
     * first run has ended. */
    duration spread(const work_class& work) const
    {
        const auto found = m_known.find(work);
        return found == m_known.end() ? duration::zero() : found->second.spread;
    }

private:
    struct estimate
    {
        duration mean{};
        duration spread{}; ///< mean deviation
        int runs = 0;      ///< runs in the mean, at most `mean_runs`
    };

    std::map<work_class, estimate> m_known;
};

} // namespace tillerhall
