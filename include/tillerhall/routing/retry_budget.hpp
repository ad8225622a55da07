/** @file Bounds retries to a share of calls. */
#pragma once

#include <algorithm>

namespace tillerhall
{

/**
 * Each call adds a share of a retry; a retry takes a whole one. So retries
 * never add more than that share to the load, also when everything fails.
 * Pure; not safe for threads.
 */
class retry_budget
{
public:
    /** Retries that may be saved up while there is little traffic. */
    static constexpr double most_saved = 10;

    /** Counts a call. @param percent retries per hundred calls */
    void call(double percent) noexcept
    {
        constexpr double hundred = 100;
        m_saved = std::min(most_saved, m_saved + percent / hundred);
    }

    /** @return whether a retry may be made; if so it is counted. */
    bool take() noexcept
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_saved = most_saved / 2;
};

} // namespace tillerhall
