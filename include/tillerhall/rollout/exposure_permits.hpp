/** @file Limits the calls that an entry sends to a canary release. */
#pragma once

#include <algorithm>

namespace tillerhall
{

/**
 * Limits the share of calls that a canary release gets, without agreement
 * between nodes: each call that reaches a target of the service wins, with
 * the share as its probability, a permit for one later call. The expected
 * share therefore holds over any number of entries, and no node that restarts
 * starts with an allowance. A counter per entry would be exact, but gives
 * nothing where each entry sees few calls of a service. Does no I/O.
 */
class exposure_permits
{
public:
    /** Unused permits beyond this are dropped, so that no burst is sent to
     * one target. */
    static constexpr unsigned max_permits = 2;

    /** Records a call that reached a target.
     * @param share of the calls that the canary release may get
     * @param random uniform in [0, 1) */
    void reached(double share, double random)
    {
        if (random < share)
            m_permits = std::min(m_permits + 1, max_permits);
    }

    bool has_permit() const noexcept { return m_permits > 0; }

    /** Uses a permit for a call to the canary release. */
    void take() noexcept
    {
        if (m_permits > 0)
            --m_permits;
    }

    /** Returns the permit of a call that reached no target. */
    void give_back() noexcept
    {
        m_permits = std::min(m_permits + 1, max_permits);
    }

private:
    unsigned m_permits = 0;
};

} // namespace tillerhall
