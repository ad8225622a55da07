#include "tillerhall/rollout/noninferiority_test.hpp"
#include "tillerhall/rollout/log_likelihood_ratio.hpp"
#include "tillerhall/rollout/target_regression_test.hpp"

#include <algorithm>
#include <cmath>

namespace tillerhall
{
namespace
{

/** Adds a log-likelihood ratio within bounds, so that the effect of a surge on
 * a release does not last. */
void add_bounded(double& total, double log_ratio)
{
    total = std::clamp(total + log_ratio, -noninferiority_test::max_sum,
                       noninferiority_test::max_sum);
}

} // namespace

void noninferiority_test::add(const counts_by_class& new_runs,
                              const release_baseline& baseline)
{
    for (const auto& [work, counts] : new_runs)
    {
        auto& total = m_totals[work];
        const double failure_share = baseline.failure_share(work);
        add_bounded(
            total.failing,
            log_likelihood_ratio(counts.ended, counts.failed, failure_share,
                                 target_regression_test::failing_margin));
        total.ended += counts.ended;
        total.bad += counts.failed;
        total.expected_bad += counts.ended * failure_share;
        total.variance += counts.ended * failure_share * (1 - failure_share);
        if (!baseline.has_latencies(work))
            continue;
        const auto slow = counts.longer_than(baseline.slow_threshold(work));
        add_bounded(total.slow,
                    log_likelihood_ratio(counts.timed(), slow,
                                         baseline.capped_slow_share(work),
                                         target_regression_test::slow_margin));
        const auto in_tail = counts.longer_than(baseline.tail_threshold(work));
        add_bounded(total.tail,
                    log_likelihood_ratio(counts.timed(), in_tail,
                                         baseline.capped_tail_share(work),
                                         target_regression_test::tail_margin));
        const double tail_share = baseline.tail_share(work);
        total.bad += in_tail;
        total.expected_bad += counts.timed() * tail_share;
        total.variance += counts.timed() * tail_share * (1 - tail_share);
    }
}

noninferiority_test&
noninferiority_test::operator+=(const noninferiority_test& other)
{
    for (const auto& [work, each] : other.m_totals)
    {
        auto& total = m_totals[work];
        total.failing += each.failing;
        total.slow += each.slow;
        total.tail += each.tail;
        total.ended += each.ended;
        total.bad += each.bad;
        total.expected_bad += each.expected_bad;
        total.variance += each.variance;
    }
    return *this;
}

std::uint32_t noninferiority_test::runs() const
{
    std::uint32_t total = 0;
    for (const auto& [work, each] : m_totals)
        total += each.ended;
    return total;
}

bool noninferiority_test::passes(const work_class& work,
                                 const release_baseline& baseline) const
{
    const auto found = m_totals.find(work);
    if (found == m_totals.end())
        return false;
    const auto& total = found->second;
    return total.failing <= -acceptance &&
           (!baseline.has_latencies(work) ||
            (total.slow <= -acceptance && total.tail <= -acceptance));
}

double noninferiority_test::excess_bad_runs() const
{
    constexpr double deviations = 3;
    double bad = 0;
    double expected_bad = 0;
    double variance = 0;
    for (const auto& [work, total] : m_totals)
    {
        bad += total.bad;
        expected_bad += total.expected_bad;
        variance += total.variance;
    }
    return bad - expected_bad - deviations * std::sqrt(variance);
}

} // namespace tillerhall
