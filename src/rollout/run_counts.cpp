#include "tillerhall/rollout/run_counts.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr double first_bucket_ms = 4;
constexpr double buckets_per_octave = 2;

} // namespace

std::size_t run_counts::bucket_of(duration span)
{
    const double octaves =
        std::log2(std::max(exact_ms(span), first_bucket_ms) / first_bucket_ms);
    const auto index = static_cast<std::size_t>(octaves * buckets_per_octave);
    return std::min(index, buckets - 1);
}

std::uint32_t run_counts::timed() const
{
    return std::accumulate(took.begin(), took.end(), 0U);
}

std::uint32_t run_counts::longer_than(std::size_t last) const
{
    return std::accumulate(took.begin() + static_cast<std::ptrdiff_t>(last) + 1,
                           took.end(), 0U);
}

run_counts& run_counts::operator+=(const run_counts& other)
{
    ended += other.ended;
    failed += other.failed;
    std::ranges::transform(took, other.took, took.begin(), std::plus<>());
    return *this;
}

run_counts run_counts::since(const run_counts& before) const
{
    if (ended < before.ended || failed < before.failed ||
        timed() < before.timed())
        return *this;
    run_counts difference = *this;
    difference.ended -= before.ended;
    difference.failed -= before.failed;
    std::ranges::transform(took, before.took, difference.took.begin(),
                           std::minus<>());
    return difference;
}

json::value to_json(const counts_by_class& sent)
{
    json::array list;
    for (const auto& [work, counts] : sent)
        list.push_back(json::array{
            work.rank, work.objective.count(), static_cast<int>(work.kind),
            counts.ended, counts.failed, json::value_from(counts.took)});
    return list;
}

counts_by_class counts_from_json(const json::value& value)
{
    counts_by_class read;
    for (const auto& each : value.as_array())
    {
        const auto& cells = each.as_array();
        const auto kind = json::value_to<std::uint64_t>(cells.at(2));
        if (kind > static_cast<std::uint64_t>(call_kind::last))
            throw std::out_of_range("unknown kind of call");
        const work_class work{
            json::value_to<std::uint32_t>(cells.at(0)),
            milliseconds(json::value_to<std::int64_t>(cells.at(1))),
            static_cast<call_kind>(kind)};
        auto& counts = read[work];
        counts.ended = json::value_to<std::uint32_t>(cells.at(3));
        counts.failed = json::value_to<std::uint32_t>(cells.at(4));
        if (counts.failed > counts.ended)
            throw std::out_of_range("more runs failed than ended");
        counts.took = json::value_to<decltype(counts.took)>(cells.at(5));
    }
    return read;
}

} // namespace tillerhall
