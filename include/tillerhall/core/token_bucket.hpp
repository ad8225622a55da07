/** @file A rate limit that allows short bursts. */
#pragma once

#include "tillerhall/core/time.hpp"

namespace tillerhall
{

/** Holds up to `burst` tokens and gains `per_second` of them. Pure. */
class token_bucket
{
public:
    token_bucket(double per_second, double burst) noexcept
        : m_per_second(per_second)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /** @return whether a token was there to take at @p now. */
    bool take(time_point now) noexcept;

    /** @return how long after @p now the next token is there; 0 if it is. */
    duration wait(time_point now) noexcept;

    /** Changes the rate; tokens already held stay, up to the new burst. */
    void set_rate(double per_second, double burst) noexcept;

private:
    void refill(time_point now) noexcept;

    double m_per_second;
    double m_burst;
    double m_tokens;
    time_point m_filled{};
    bool m_started = false;
};

} // namespace tillerhall
