/** @file What a service promises its callers. */
#pragma once

namespace tillerhall
{

/** The share of calls that is to be answered, and within what time. */
struct objective
{
    double answered_percent = 99.9;
    double within_ms = 1000;

    /** @return the share of calls that may fail. */
    double budget() const noexcept
    {
        constexpr double hundred = 100;
        return (hundred - answered_percent) / hundred;
    }
};

} // namespace tillerhall
