/** @file Counts of the runs at one target, by which releases are compared. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <array>
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>

namespace tillerhall
{

/** Runs of one class of work. Counts only grow. */
struct run_counts
{
    /** Half octaves from 4 ms on: 24 of them reach 16 s, beyond any call's
     * time. A target several times slower is several of them off. */
    static constexpr std::size_t buckets = 24;

    std::uint32_t ended = 0;  ///< runs that tell whether the target does well
    std::uint32_t failed = 0; ///< of these, through the target's own fault
    /** Runs by the time they took; not while the target was cold. */
    std::array<std::uint32_t, buckets> took{};

    /** @return the place in `took` of a run of @p span. */
    static std::size_t bucket_of(duration span);

    std::uint32_t timed() const;
    /** @return runs that took longer than all of bucket @p last. */
    std::uint32_t longer_than(std::size_t last) const;

    run_counts& operator+=(const run_counts& other);
    /** @return what came since @p before; all if the counts began anew. */
    run_counts since(const run_counts& before) const;
};

using counts_by_class = std::map<work_class, run_counts>;

boost::json::value to_json(const counts_by_class& sent);

/** Throws std::exception on a bad message. */
counts_by_class counts_from_json(const boost::json::value& value);

} // namespace tillerhall
