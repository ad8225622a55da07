/** @file How long runs of each class of work take at a target. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <algorithm>
#include <map>

namespace tillerhall
{

/**
 * Decaying means of the runs at one target by class of work. One mean for all
 * would be wrong for each where calls of 16 ms meet runs of 80 ms. Pure.
 */
class run_estimates
{
public:
    /** Weight of the newest run: runs differ by about their mean, so over 32
     * of them the mean is known to some 12%. */
    static constexpr int mean_share = 32;

    void ran(const work_class& work, duration took)
    {
        auto& known = m_known[work];
        known.runs = std::min(known.runs + 1, mean_share);
        known.mean += (took - known.mean) / known.runs;
    }

    /** Before any run has ended, one takes this part of its objective: where
     * operators' objectives leave room for a wait and a second try, a quarter.
     * Taken for nothing, a target that had just started let in all that came
     * until its first run ended: of the 2 s after all nodes had lost power,
     * when all clients return, two answers in five came late. */
    static constexpr int unknown_part = 4;

    /**
     * @param mean of all runs at the target; zero before the first has ended
     * @return how long a run of @p work is expected to take
     */
    duration expected(const work_class& work, duration mean) const
    {
        const duration guessed = work.objective / unknown_part;
        return of(work, mean > duration::zero() ? mean : guessed);
    }

    /** @return the mean run of @p work, or @p unknown if none has ended. */
    duration of(const work_class& work, duration unknown) const
    {
        const auto found = m_known.find(work);
        return found == m_known.end() ? unknown : found->second.mean;
    }

private:
    struct estimate
    {
        duration mean{};
        int runs = 0; ///< in the mean, up to its weight
    };

    std::map<work_class, estimate> m_known;
};

} // namespace tillerhall
