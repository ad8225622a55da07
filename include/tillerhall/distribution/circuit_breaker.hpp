/** @file Circuit breaker for a source that fails. */
#pragma once

#include "tillerhall/core/backoff.hpp"

namespace tillerhall
{

/** Thresholds of a circuit breaker. */
struct breaker_limits
{
    unsigned failures_to_open = 3; ///< in a row
    duration min_open = std::chrono::seconds(1);
    duration max_open = std::chrono::seconds(15);
};

/** Opens after consecutive failures; open times grow, with jitter. Does no
 * I/O. */
class circuit_breaker
{
public:
    explicit circuit_breaker(breaker_limits limits = {}) noexcept
        : m_limits(limits)
        , m_waits(limits.min_open, limits.max_open)
    {
    }

    /** Returns true if the source may be asked at @p now. */
    bool allows(time_point now) const noexcept { return now >= m_open_until; }

    /** Notes a success. @return true if it closed an open breaker. */
    bool succeeded() noexcept;

    /** Notes a failure. @return true if it opened the breaker. */
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
