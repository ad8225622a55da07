/** @file Limits the rate of calls to a cold target. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>
#include <deque>

namespace tillerhall
{

/**
 * Counts the calls sent to a target in the last second.
 *
 * A target that has just started can serve only a limited rate and may crash
 * well above it; after an outage a whole failure domain of such targets starts
 * at once. Calls also count while the target is warm, since it may become cold
 * while they are still running. The calls sent by a previous run of this
 * process are not known, so a cold target gets none in the first second. Does
 * no I/O.
 */
class cold_rate_limiter
{
public:
    static constexpr std::chrono::seconds window{1};

    explicit cold_rate_limiter(time_point started) noexcept
        : m_started(started)
    {
    }

    /** Counts a call to the target. */
    void sent(time_point now);

    /**
     * @return true if a target limited to @p per_s calls a second may get
     * another call.
     */
    bool has_room(double per_s, time_point now);

    /** @return the used share of the limit; 1 is all of it. */
    double used(double per_s, time_point now);

    /** @return the time until the target may get another call. */
    duration wait(double per_s, time_point now);

private:
    static std::size_t calls_per_window(double per_s) noexcept;
    void forget_old(time_point now);

    time_point m_started;
    std::deque<time_point> m_sent;
};

} // namespace tillerhall
