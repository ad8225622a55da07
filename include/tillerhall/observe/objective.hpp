/** @file The service level objective of a service. */
#pragma once

namespace tillerhall
{

/** The percentage of calls to be answered, and the time limit in ms. */
struct objective
{
    double answered_percent = 99.9;
    double within_ms = 1000;

    /** @return the error budget: the share (0 to 1) of calls that may fail. */
    double budget() const noexcept
    {
        constexpr double hundred = 100;
        return (hundred - answered_percent) / hundred;
    }
};

} // namespace tillerhall
