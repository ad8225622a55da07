/** @file Sheds calls at a target whose runs fail for want of what they call. */
#pragma once

#include <algorithm>

namespace tillerhall
{

/**
 * A run that fails because a call of its own was refused has taken a slot
 * here and places further down for nothing. The share of calls that is shed
 * grows with each failed run and falls with each good one, so that it settles
 * where `settled_failures` of the runs still fail (additive increase and
 * decrease; the ratio of the steps sets that share). Pure.
 */
class failure_shedder
{
public:
    static constexpr double raise = 0.02;
    static constexpr double lower = 0.002;
    /** Some calls always pass, so that recovery is seen. */
    static constexpr double most_shed = 0.85;
    /** About raise / lower runs are good for each that fails. */
    static constexpr double settled_failures = lower / (raise + lower);

    /** A run ended. */
    void ran(bool failed) noexcept
    {
        m_share = failed ? std::min(most_shed, m_share + raise)
                         : std::max(0.0, m_share - lower);
    }

    /** @param point random in [0, 1) @return whether a call is shed now. */
    bool sheds(double point) const noexcept
    {
        return point < m_share - free_share;
    }

    double share() const noexcept { return m_share; }

private:
    /** Chance failures (a few in a thousand, at times in a row) shed none. */
    static constexpr double free_share = 0.1;

    double m_share = 0;
};

} // namespace tillerhall
