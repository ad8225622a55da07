/** @file The load that a target reports in its responses. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstdint>

namespace tillerhall
{

/** What a target says of its load at one moment. */
struct target_load
{
    /**
     * How long a report tells how fast the target works. Targets are slow for
     * 600 ms and more, so half of that is still informative.
     */
    static constexpr milliseconds slowness_valid{300};

    std::int64_t running = 0; ///< calls that it runs
    std::int64_t waiting = 0; ///< calls that it has queued
    std::int64_t slots = 1;   ///< calls that it can run at once
    double slowness = 1; ///< duration of work there now, relative to the usual

    bool operator==(const target_load&) const = default;

    /** @return the calls that it runs or has queued. */
    std::int64_t calls() const noexcept { return running + waiting; }
};

} // namespace tillerhall
