/** @file Stops asking a source that fails, and tries it now and then. */
#pragma once

#include "tillerhall/core/backoff.hpp"

namespace tillerhall
{

/** Timing of a circuit breaker. */
struct breaker_limits
{
    unsigned failures_to_open = 3;
    duration least_open = std::chrono::seconds(1);
    duration most_open = std::chrono::seconds(15);
};

/** Opens after failures in a row; open times grow with jitter. Pure. */
class circuit_breaker
{
public:
    explicit circuit_breaker(breaker_limits limits = {}) noexcept
        : m_limits(limits)
        , m_waits(limits.least_open, limits.most_open)
    {
    }

    /** @return whether the source may be asked at @p now. */
    bool allows(time_point now) const noexcept { return now >= m_open_until; }

    /** @return whether this success closed an open breaker. */
    bool succeeded() noexcept;

    /** @return whether this failure opened the breaker. */
    bool failed(time_point now, random_source& random) noexcept;

    bool is_open() const noexcept
    {
        return m_failures >= m_limits.failures_to_open;
    }

private:
    breaker_limits m_limits;
    backoff m_waits;
    unsigned m_failures = 0;
    time_point m_open_until{};
};

} // namespace tillerhall
