/** @file A histogram of latencies with a logarithmic axis. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tillerhall
{

/** Counts latencies from 0.01 ms to 100 s in buckets 12% wide. Thread-safe.
 * Lock order: a leaf. */
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();

    /** Adds one value in milliseconds. */
    void record(double ms);

    /** @return the upper bound, in ms, of the bucket with the quantile @p share
     * (0 to 1); 0 if the histogram is empty. */
    double quantile(double share) const;

    /** @return the number of values above @p ms, interpolated in its bucket. */
    double count_above(double ms) const;

    std::uint64_t count() const;

    /** @return the counts of the non-empty buckets, by index. */
    std::map<int, std::uint64_t> bucket_counts() const;

    /** Adds counts from `bucket_counts`, also of another node. */
    void add(const std::map<int, std::uint64_t>& counts);

    /** Appends the histogram @p name in Prometheus text format to @p into. */
    void write(std::string& into,
               const std::string& name,
               const std::string& labels) const;

private:
    struct state;
    mutable std::mutex m_mutex;
    std::unique_ptr<state> m_state;
};

} // namespace tillerhall
