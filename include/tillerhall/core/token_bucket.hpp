/** @file A rate limit that allows short bursts. */
#pragma once

#include "tillerhall/core/time.hpp"

namespace tillerhall
{

/** Holds up to `burst` tokens, refilled at `per_second`. Reads no clock. */
class token_bucket
{
public:
    token_bucket(double per_second, double burst) noexcept
        : m_per_second(per_second)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /** Takes a token. @return false if there was none at @p now. */
    bool take(time_point now) noexcept;

    /** @return the time until a token is available; 0 if one is. */
    duration wait(time_point now) noexcept;

    /** Changes the limits; tokens above the new burst are dropped. */
    void set_rate(double per_second, double burst) noexcept;

    /** The same after tokens up to @p now were added at the previous rate. */
    void set_rate(double per_second, double burst, time_point now) noexcept;

private:
    void refill(time_point now) noexcept;

    double m_per_second;
    double m_burst;
    double m_tokens;
    time_point m_refilled_at{};
    bool m_started = false;
};

} // namespace tillerhall
