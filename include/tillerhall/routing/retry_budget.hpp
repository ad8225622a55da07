/** @file Limits retries to a share of the calls. */
#pragma once

#include <algorithm>

namespace tillerhall
{

/**
 * Each call adds a fraction of a token; a retry takes a whole one. Retries
 * never add more than that share to the load, even if every call fails. Does no
 * I/O; not thread-safe.
 */
class retry_budget
{
public:
    /** Most tokens that are saved up while there is little traffic. */
    static constexpr double max_saved = 10;

    /**
     * Counts a call.
     * @param percent retries per hundred calls
     */
    void call(double percent) noexcept
    {
        constexpr double hundred = 100;
        m_saved = std::min(max_saved, m_saved + percent / hundred);
    }

    /**
     * Takes a token for one retry.
     * @return false if there is none.
     */
    bool take() noexcept
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_saved = max_saved / 2;
};

} // namespace tillerhall
