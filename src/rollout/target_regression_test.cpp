#include "tillerhall/rollout/target_regression_test.hpp"
#include "tillerhall/rollout/log_likelihood_ratio.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

std::string reason_text(const char* what,
                        std::uint32_t bad_runs,
                        std::uint32_t runs,
                        double share)
{
    constexpr double hundred = 100;
    return std::string(what) + ": " + std::to_string(bad_runs) +
           " of the last " + std::to_string(runs) +
           " runs, before the release " +
           std::to_string(static_cast<int>(share * hundred)) + " in 100";
}

} // namespace

double target_regression_test::score() const noexcept
{
    if (is_regressed())
        return threshold;
    double greatest = 0;
    for (const auto& [work, sums] : m_scores)
        greatest = std::max({greatest, sums.failing, sums.slow, sums.tail});
    return std::min(greatest, threshold);
}

void target_regression_test::add(const counts_by_class& new_runs,
                                 const release_baseline& baseline)
{
    for (const auto& [work, counts] : new_runs)
    {
        auto& sums = m_scores[work];
        const double failure_share = baseline.failure_share(work);
        sums.failing = std::max(
            0.0,
            sums.failing + log_likelihood_ratio(counts.ended, counts.failed,
                                                failure_share, failing_margin));
        if (sums.failing >= threshold && m_reason.empty())
            m_reason = reason_text("its runs fail", counts.failed, counts.ended,
                                   failure_share);
        if (!baseline.has_latencies(work))
            continue;
        const auto slow = counts.longer_than(baseline.slow_threshold(work));
        sums.slow = std::max(
            0.0, sums.slow + log_likelihood_ratio(counts.timed(), slow,
                                                  baseline.slow_share(work),
                                                  slow_margin));
        if (sums.slow >= threshold && m_reason.empty())
            m_reason = reason_text("its runs are slow", slow, counts.timed(),
                                   baseline.slow_share(work));
        const auto in_tail = counts.longer_than(baseline.tail_threshold(work));
        sums.tail = std::max(
            0.0, sums.tail + log_likelihood_ratio(counts.timed(), in_tail,
                                                  baseline.tail_share(work),
                                                  tail_margin));
        if (sums.tail >= threshold && m_reason.empty())
            m_reason = reason_text("some of its runs are slow", in_tail,
                                   counts.timed(), baseline.tail_share(work));
    }
}

} // namespace tillerhall
