/** @file Failure rates and latencies of the stable release's recent runs. */
#pragma once

#include "tillerhall/rollout/run_counts.hpp"

#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/** Latency thresholds of one class of work, as buckets of `run_counts`. */
struct latency_thresholds
{
    std::size_t slow = run_counts::buckets - 1; ///< runs beyond it are slow
    std::size_t tail = run_counts::buckets - 1; ///< few runs are beyond it
};

using thresholds_by_class = std::map<work_class, latency_thresholds>;

/**
 * Recent runs at the stable release's targets, by class of work. Thresholds
 * leave out targets that are slow at present and don't rise far above those at
 * the lowest load. Otherwise slow targets, or a surge that slows the stable
 * targets but not the few canary targets, would raise the thresholds until no
 * canary run counts as slow. The shares beyond a threshold are those of recent
 * runs, so that a slowdown of all targets is not counted against the canary.
 */
class release_baseline
{
public:
    /**
     * @param by_target recent runs at each target
     * @param lowest_load thresholds at the lowest load so far
     */
    explicit release_baseline(std::vector<counts_by_class> by_target,
                              const thresholds_by_class& lowest_load = {});

    /** @return the share of runs of @p work that fail; at least 1%. */
    double failure_share(const work_class& work) const;

    /** @return the bucket beyond which runs are slow. */
    std::size_t slow_threshold(const work_class& work) const;

    /** @return the share of slow runs, with a lower bound above zero. */
    double slow_share(const work_class& work) const;

    /**
     * @return the bucket beyond which the tail starts. A release of which some
     * runs are several times slower has many runs there; a machine of half the
     * speed has few more.
     */
    std::size_t tail_threshold(const work_class& work) const;

    /** @return the share of runs in the tail, with a lower bound above zero. */
    double tail_share(const work_class& work) const;

    /**
     * @return the share of slow runs, or of runs in the tail, with an upper
     * bound: a surge at the stable targets must not make a canary look
     * non-inferior.
     */
    double capped_slow_share(const work_class& work) const;
    double capped_tail_share(const work_class& work) const;

    /** @return the present thresholds of classes with enough runs. */
    thresholds_by_class current_thresholds() const;

    /** @return whether enough runs were timed for latency thresholds. */
    bool has_latencies(const work_class& work) const;

    /** @return the recent runs of all targets. */
    const counts_by_class& counts() const noexcept { return m_total; }

private:
    struct latency_baseline
    {
        latency_thresholds thresholds;
        double slow_share = 0; ///< of runs beyond the slow threshold
        double tail_share = 0; ///< of runs beyond the tail threshold
    };

    const run_counts& counts_of(const work_class& work) const;
    latency_baseline latency_of(const work_class& work,
                                const latency_thresholds& lowest_load) const;

    std::vector<counts_by_class> m_by_target;
    counts_by_class m_total;
    std::map<work_class, latency_baseline> m_latencies;
};

} // namespace tillerhall
