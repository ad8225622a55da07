/** @file Counts of runs at one target, for the comparison of releases. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <array>
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>

namespace tillerhall
{

/** Cumulative counts of runs of one class of work. */
struct run_counts
{
    /** Latency buckets of half an octave, from 4 ms to 16 s, which exceeds any
     * call's time. */
    static constexpr std::size_t buckets = 24;

    std::uint32_t ended = 0;  ///< runs whose result is due to the target
    std::uint32_t failed = 0; ///< of these, by the target's fault
    /** Runs by latency bucket; without those while the target was cold. */
    std::array<std::uint32_t, buckets> took{};

    /** @return the index in `took` of a run of duration @p span. */
    static std::size_t bucket_of(duration span);

    std::uint32_t timed() const;
    /** @return the number of runs in buckets after @p last. */
    std::uint32_t longer_than(std::size_t last) const;

    run_counts& operator+=(const run_counts& other);
    /** @return the difference to @p before; all if the counts restarted. */
    run_counts since(const run_counts& before) const;
};

using counts_by_class = std::map<work_class, run_counts>;

boost::json::value to_json(const counts_by_class& sent);

/** Throws std::exception on a malformed message. */
counts_by_class counts_from_json(const boost::json::value& value);

} // namespace tillerhall
