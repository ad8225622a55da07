/** @file Named counters, gauges and histograms in Prometheus text format. */
#pragma once

#include "tillerhall/observe/latency_histogram.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace tillerhall
{

/** A counter or gauge; thread-safe. */
class metric
{
public:
    void add(std::int64_t by = 1) noexcept
    {
        m_value.fetch_add(by, std::memory_order_relaxed);
    }
    void set(std::int64_t to) noexcept
    {
        m_value.store(to, std::memory_order_relaxed);
    }
    std::int64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value{0};
};

/** Owns the metrics of a process. Thread-safe.
 * Lock order: its mutex comes before that of a histogram. */
class metrics_registry
{
public:
    /**
     * @param name Prometheus name without labels; a counter ends in "_total"
     * @param labels such as `kind="delta"`; may be empty
     * @return the metric, created on first use; valid as long as the registry.
     */
    metric& get(const std::string& name, const std::string& labels = {});

    /** @return the histogram of milliseconds called @p name, created on first
     * use; valid as long as the registry. */
    latency_histogram& histogram(const std::string& name,
                                 const std::string& labels = {});

    /** @return all metrics in Prometheus text format 0.0.4. */
    std::string text() const;

private:
    struct metric_key
    {
        std::string name;
        std::string labels;
        auto operator<=>(const metric_key&) const = default;
    };

    mutable std::mutex m_mutex;
    std::map<metric_key, std::unique_ptr<metric>> m_metrics;
    std::map<metric_key, std::unique_ptr<latency_histogram>> m_histograms;
};

} // namespace tillerhall
