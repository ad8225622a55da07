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

/** A number that any thread may change. */
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

/** Owns every metric of a process. Lock order: a leaf, nothing is held with it.
 */
class metrics_registry
{
public:
    /**
     * @param name as in Prometheus, without labels
     * @param labels such as `kind="delta"`, may be empty
     * @return the metric, made on first use; valid as long as the registry.
     */
    metric& get(const std::string& name, const std::string& labels = {});

    /** @return the histogram of milliseconds called @p name, made on first use.
     */
    latency_histogram& histogram(const std::string& name,
                                 const std::string& labels = {});

    /** @return all of them in Prometheus text format 0.0.4. */
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
