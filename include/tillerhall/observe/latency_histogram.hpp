/** @file Latencies in a Boost.Histogram with a logarithmic axis. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tillerhall
{

/** Counts of latencies from 0.01 ms to 100 s in buckets 12% wide. */
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();

    /** Adds one value in milliseconds; callable from any thread. */
    void record(double ms);

    /** @return the value below which @p share (0..1) of all lie; 0 if empty. */
    double quantile(double share) const;

    /** @return about how many values lie above @p ms. */
    double count_above(double ms) const;

    std::uint64_t count() const;

    /** @return the counts of the buckets that are not empty, by index. */
    std::map<int, std::uint64_t> sparse() const;

    /** Adds counts that `sparse` gave, perhaps on another node. */
    void add(const std::map<int, std::uint64_t>& counts);

    /** Appends Prometheus lines for a histogram called @p name. */
    void write(std::string& into,
               const std::string& name,
               const std::string& labels) const;

private:
    struct state;
    mutable std::mutex m_mutex;
    std::unique_ptr<state> m_state;
};

} // namespace tillerhall
