#include "tillerhall/rollout/release_baseline.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// Prior of shares of bad runs, before any run: one in twenty.
constexpr double prior_runs = 20;
constexpr double prior_bad_runs = 1;
// A stable release without failures in a few hundred runs may still fail.
constexpr double min_share = 0.01;
// Lower bounds of the shares of slow runs and of runs in the tail; they allow
// for machines of half the speed.
constexpr double min_slow_share = 0.12;
// Of the stable release's runs the slowest tenth is slow.
constexpr double slow_quantile = 0.9;
// The slowest two in a hundred are in the tail.
constexpr double tail_quantile = 0.98;
constexpr double min_tail_share = 0.04;
// Upper bound of a capped share, as a multiple of its lower bound: differences
// between machines and chance double a share at most.
constexpr double max_share_factor = 2;
constexpr std::uint32_t min_timed_runs = 30;
// Thresholds of fewer runs vary too much to be kept as the lowest.
constexpr std::uint32_t min_threshold_runs = 200;
// With fewer runs the mean latency of a target is too uncertain.
constexpr std::uint32_t min_timed_runs_per_target = 8;
// With fewer targets an outlier cannot be identified.
constexpr std::size_t min_targets = 3;
// In buckets of half an octave. Machines differ by a factor of up to two from
// the median; a target that takes three times as long is left out as slow.
constexpr double max_bucket_distance = 3.2;
// Runs that take up to half as long again don't count as slow.
constexpr std::size_t slow_margin_buckets = 1;

double share_of(std::uint32_t bad, std::uint32_t all)
{
    const double share = (bad + prior_bad_runs) / (all + prior_runs);
    return std::max(share, min_share);
}

/** @return the bucket of the @p quantile of the timed runs. */
std::size_t quantile_bucket(const run_counts& counts, double quantile)
{
    const double needed = quantile * counts.timed();
    double counted = 0;
    std::size_t last = 0;
    for (; last + 1 < run_counts::buckets; ++last)
    {
        counted += counts.took[last];
        if (counted >= needed)
            break;
    }
    return last;
}

/** @return the @p current threshold, or that at the lowest load if the current
 * one is more than two buckets above it; smaller differences are chance. */
std::size_t limited_threshold(std::size_t current, std::size_t lowest_load)
{
    constexpr std::size_t min_distance = 2;
    return current > lowest_load + min_distance ? lowest_load : current;
}

/** @return the mean logarithm of the latencies, in buckets. */
double mean_bucket(const run_counts& counts)
{
    double sum = 0;
    for (std::size_t i = 0; i < run_counts::buckets; ++i)
        sum += static_cast<double>(i) * counts.took[i];
    return sum / counts.timed();
}

/** @return the runs at the targets that are not slow at present. */
run_counts without_slow_targets(const std::vector<const run_counts*>& targets)
{
    std::vector<double> means;
    for (const auto* each : targets)
        means.push_back(mean_bucket(*each));
    auto sorted = means;
    std::ranges::sort(sorted);
    const double median = sorted[sorted.size() / 2];
    run_counts kept;
    for (std::size_t i = 0; i < targets.size(); ++i)
        if (means[i] <= median + max_bucket_distance)
            kept += *targets[i];
    return kept;
}

} // namespace

release_baseline::release_baseline(std::vector<counts_by_class> by_target,
                                   const thresholds_by_class& lowest_load)
    : m_by_target(std::move(by_target))
{
    for (const auto& each : m_by_target)
        for (const auto& [work, counts] : each)
            m_total[work] += counts;
    for (const auto& [work, counts] : m_total)
    {
        const auto known = lowest_load.find(work);
        m_latencies[work] =
            latency_of(work, known == lowest_load.end() ? latency_thresholds()
                                                        : known->second);
    }
}

thresholds_by_class release_baseline::current_thresholds() const
{
    thresholds_by_class found;
    for (const auto& [work, latency] : m_latencies)
        if (counts_of(work).timed() >= min_threshold_runs)
            found[work] = latency.thresholds;
    return found;
}

const run_counts& release_baseline::counts_of(const work_class& work) const
{
    static const run_counts none;
    const auto found = m_total.find(work);
    return found == m_total.end() ? none : found->second;
}

release_baseline::latency_baseline
release_baseline::latency_of(const work_class& work,
                             const latency_thresholds& lowest_load) const
{
    std::vector<const run_counts*> targets;
    for (const auto& each : m_by_target)
        if (const auto found = each.find(work);
            found != each.end() &&
            found->second.timed() >= min_timed_runs_per_target)
            targets.push_back(&found->second);
    const auto runs = targets.size() < min_targets
                          ? counts_of(work)
                          : without_slow_targets(targets);
    latency_baseline latency;
    const auto last =
        std::min(quantile_bucket(runs, slow_quantile) + slow_margin_buckets,
                 run_counts::buckets - 1);
    latency.thresholds.slow = limited_threshold(last, lowest_load.slow);
    latency.thresholds.tail = limited_threshold(
        quantile_bucket(runs, tail_quantile), lowest_load.tail);
    const auto beyond = [&](std::size_t threshold)
    { return share_of(runs.longer_than(threshold), runs.timed()); };
    latency.slow_share =
        std::max(min_slow_share, beyond(latency.thresholds.slow));
    latency.tail_share =
        std::max(min_tail_share, beyond(latency.thresholds.tail));
    return latency;
}

double release_baseline::failure_share(const work_class& work) const
{
    const auto& counts = counts_of(work);
    return share_of(counts.failed, counts.ended);
}

std::size_t release_baseline::slow_threshold(const work_class& work) const
{
    const auto found = m_latencies.find(work);
    return found == m_latencies.end() ? latency_baseline().thresholds.slow
                                      : found->second.thresholds.slow;
}

double release_baseline::slow_share(const work_class& work) const
{
    const auto found = m_latencies.find(work);
    return found == m_latencies.end() ? min_slow_share
                                      : found->second.slow_share;
}

std::size_t release_baseline::tail_threshold(const work_class& work) const
{
    const auto found = m_latencies.find(work);
    return found == m_latencies.end() ? latency_baseline().thresholds.tail
                                      : found->second.thresholds.tail;
}

double release_baseline::tail_share(const work_class& work) const
{
    const auto found = m_latencies.find(work);
    return found == m_latencies.end() ? min_tail_share
                                      : found->second.tail_share;
}

double release_baseline::capped_slow_share(const work_class& work) const
{
    return std::min(slow_share(work), min_slow_share * max_share_factor);
}

double release_baseline::capped_tail_share(const work_class& work) const
{
    return std::min(tail_share(work), min_tail_share * max_share_factor);
}

bool release_baseline::has_latencies(const work_class& work) const
{
    return counts_of(work).timed() >= min_timed_runs;
}

} // namespace tillerhall
