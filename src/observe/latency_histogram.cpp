#include "tillerhall/observe/latency_histogram.hpp"

#include <boost/histogram.hpp>
#include <numeric>

namespace tillerhall
{
namespace
{
namespace bh = boost::histogram;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned bucket_count = 140;
constexpr double min_ms = 0.01;
constexpr double max_ms = 100'000.0;

std::string join_labels(const std::string& labels, const std::string& more)
{
    return labels.empty() ? more : labels + "," + more;
}

} // namespace

struct latency_histogram::state
{
    decltype(bh::make_histogram(
        log_axis(bucket_count, min_ms, max_ms))) values =
        bh::make_histogram(log_axis(bucket_count, min_ms, max_ms));
    double sum = 0;
    std::uint64_t count = 0;

    /** @return the count of bucket @p index; -1 is underflow, `bucket_count`
     * overflow. */
    std::uint64_t at(int index) const
    {
        return static_cast<std::uint64_t>(values.at(index));
    }
};

latency_histogram::latency_histogram()
    : m_state(std::make_unique<state>())
{
}
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(double ms)
{
    const std::lock_guard lock(m_mutex);
    m_state->values(std::max(ms, min_ms));
    m_state->sum += ms;
    ++m_state->count;
}

double latency_histogram::quantile(double share) const
{
    const std::lock_guard lock(m_mutex);
    const double rank = share * static_cast<double>(m_state->count);
    double cumulative = 0;
    for (int i = 0; i < static_cast<int>(bucket_count); ++i)
    {
        cumulative += static_cast<double>(m_state->at(i));
        if (cumulative >= rank && cumulative > 0)
            return m_state->values.axis().bin(i).upper();
    }
    return m_state->count == 0 ? 0 : max_ms;
}

double latency_histogram::count_above(double ms) const
{
    const std::lock_guard lock(m_mutex);
    const auto& axis = m_state->values.axis();
    const int bucket = axis.index(std::max(ms, min_ms));
    double above = 0;
    for (int i = bucket + 1; i <= static_cast<int>(bucket_count); ++i)
        above += static_cast<double>(m_state->at(i));
    if (bucket >= static_cast<int>(bucket_count))
        return above;
    // Assumes that values are spread evenly within the bucket.
    const double lower = axis.bin(bucket).lower();
    const double upper = axis.bin(bucket).upper();
    const double share = (upper - std::max(ms, min_ms)) / (upper - lower);
    return above + share * static_cast<double>(m_state->at(bucket));
}

std::map<int, std::uint64_t> latency_histogram::bucket_counts() const
{
    const std::lock_guard lock(m_mutex);
    std::map<int, std::uint64_t> counts;
    for (int i = 0; i < static_cast<int>(bucket_count); ++i)
        if (const auto in_bucket = m_state->at(i); in_bucket != 0)
            counts[i] = in_bucket;
    return counts;
}

void latency_histogram::add(const std::map<int, std::uint64_t>& counts)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [bucket, count] : counts)
    {
        if (bucket < 0 || bucket >= static_cast<int>(bucket_count))
            continue;
        const auto middle = m_state->values.axis().bin(bucket).center();
        m_state->values(middle, bh::weight(count));
        m_state->count += count;
        m_state->sum += middle * static_cast<double>(count);
    }
}

std::uint64_t latency_histogram::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_state->count;
}

void latency_histogram::write(std::string& into,
                              const std::string& name,
                              const std::string& labels) const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t cumulative = 0;
    for (int i = 0; i < static_cast<int>(bucket_count); ++i)
    {
        const auto in_bucket = m_state->at(i);
        cumulative += in_bucket;
        if (in_bucket == 0)
            continue; // empty buckets are left out to keep the page short
        const auto bound =
            std::to_string(m_state->values.axis().bin(i).upper());
        into += name + "_bucket{" +
                join_labels(labels, "le=\"" + bound + "\"") + "} " +
                std::to_string(cumulative) + "\n";
    }
    const auto count = std::to_string(m_state->count);
    into += name + "_bucket{" + join_labels(labels, "le=\"+Inf\"") + "} " +
            count + "\n";
    const auto braces = labels.empty() ? "" : "{" + labels + "}";
    into += name + "_sum" + braces + " " + std::to_string(m_state->sum) + "\n";
    into += name + "_count" + braces + " " + count + "\n";
}

} // namespace tillerhall
