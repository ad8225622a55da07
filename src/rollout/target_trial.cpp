#include "tillerhall/rollout/target_trial.hpp"

#include <algorithm>
#include <cmath>

namespace tillerhall
{
namespace
{

// What is believed before anything ran at the old release: one in twenty.
constexpr double prior_runs = 20;
constexpr double prior_bad = 1;
// An old release that never fails in a few hundred runs may still fail.
constexpr double least_share = 0.01;
// Where a share of the targets has half of the speed, 15 in 100 of a slow one's
// runs are beyond what is usual.
constexpr double least_slow = 0.12;
// Beyond this nothing can be told to be that much worse.
constexpr double most_share = 0.95;
// The slowest tenth of the old release's runs are beyond what is usual.
constexpr double usual_part = 0.9;
constexpr std::uint32_t least_timed = 30;
// A run that takes half as long again is no sign yet: one half octave is added.
constexpr std::size_t usual_margin = 1;

double share_of(std::uint32_t bad, std::uint32_t all)
{
    const double share = (bad + prior_bad) / (all + prior_runs);
    return std::max(share, least_share);
}

/** Adds runs of which @p bad were bad to a cumulative sum, in one step. */
double add_runs(double sum,
                std::uint32_t all,
                std::uint32_t bad,
                double usual,
                double worse)
{
    const double other = usual + worse;
    if (other > most_share)
        return sum;
    const double for_bad = std::log(other / usual);
    const double for_good = std::log((1 - other) / (1 - usual));
    return std::max(0.0, sum + bad * for_bad + (all - bad) * for_good);
}

std::string
figures(const char* what, std::uint32_t bad, std::uint32_t all, double usual)
{
    constexpr double hundred = 100;
    return std::string(what) + ": " + std::to_string(bad) + " of the last " +
           std::to_string(all) + " runs, before the release " +
           std::to_string(static_cast<int>(usual * hundred)) + " in 100";
}

} // namespace

const run_counts& release_baseline::of(const work_class& work) const
{
    static const run_counts none;
    const auto found = m_lately.find(work);
    return found == m_lately.end() ? none : found->second;
}

double release_baseline::failing(const work_class& work) const
{
    const auto& counts = of(work);
    return share_of(counts.failed, counts.ended);
}

std::size_t release_baseline::usual_time(const work_class& work) const
{
    const auto& counts = of(work);
    const double most = usual_part * counts.timed();
    double seen = 0;
    std::size_t last = 0;
    for (; last + 1 < run_counts::buckets; ++last)
    {
        seen += counts.took[last];
        if (seen >= most)
            break;
    }
    return std::min(last + usual_margin, run_counts::buckets - 1);
}

double release_baseline::slow(const work_class& work) const
{
    const auto& counts = of(work);
    return std::max(least_slow, share_of(counts.longer_than(usual_time(work)),
                                         counts.timed()));
}

bool release_baseline::knows_times(const work_class& work) const
{
    return of(work).timed() >= least_timed;
}

double target_trial::strength() const noexcept
{
    if (is_suspect())
        return threshold;
    double most = 0;
    for (const auto& [work, sum] : m_sums)
        most = std::max({most, sum.failing, sum.slow});
    return std::min(most, threshold);
}

void target_trial::ran(const counts_by_class& news,
                       const release_baseline& before)
{
    for (const auto& [work, counts] : news)
    {
        auto& sum = m_sums[work];
        const double failing = before.failing(work);
        sum.failing = add_runs(sum.failing, counts.ended, counts.failed,
                               failing, worse_failing);
        if (sum.failing >= threshold && m_reason.empty())
            m_reason =
                figures("its runs fail", counts.failed, counts.ended, failing);
        if (!before.knows_times(work))
            continue;
        const auto slow = counts.longer_than(before.usual_time(work));
        sum.slow = add_runs(sum.slow, counts.timed(), slow, before.slow(work),
                            worse_slow);
        if (sum.slow >= threshold && m_reason.empty())
            m_reason = figures("its runs are slow", slow, counts.timed(),
                               before.slow(work));
    }
}

} // namespace tillerhall
