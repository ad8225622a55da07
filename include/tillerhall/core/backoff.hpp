/** @file Waiting times between attempts. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/time.hpp"

namespace tillerhall
{

/**
 * Decorrelated jitter: each wait is random between the least and three times
 * the one before, so that many that failed together come back spread out.
 */
class backoff
{
public:
    backoff(duration least, duration most) noexcept
        : m_least(least)
        , m_most(most)
        , m_last(least)
    {
    }

    /** @return how long to wait before the next attempt. */
    duration next(random_source& random) noexcept;

    /** Starts again from the least wait, after a success. */
    void reset() noexcept { m_last = m_least; }

private:
    duration m_least;
    duration m_most;
    duration m_last;
};

} // namespace tillerhall
