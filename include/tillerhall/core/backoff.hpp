/** @file Delays between attempts. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/time.hpp"

namespace tillerhall
{

/**
 * Exponential backoff with decorrelated jitter: each delay is random between
 * the minimum and three times the previous delay, so that clients that failed
 * together do not retry together.
 */
class backoff
{
public:
    backoff(duration min_wait, duration max_wait) noexcept
        : m_min_wait(min_wait)
        , m_max_wait(max_wait)
        , m_last_wait(min_wait)
    {
    }

    /** @return the delay before the next attempt. */
    duration next(random_source& random) noexcept;

    /** Resets the delay to the minimum, after a success. */
    void reset() noexcept { m_last_wait = m_min_wait; }

private:
    duration m_min_wait;
    duration m_max_wait;
    duration m_last_wait;
};

} // namespace tillerhall
