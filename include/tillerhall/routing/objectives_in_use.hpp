/** @file Which objectives a node's calls have, to tell short calls. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>
#include <map>

namespace tillerhall
{

/**
 * Tells calls whose objective is short beside the longest one in use. Routes
 * that hardly any call takes do not count: a version of the routes may hold
 * hundreds of them with any objective. Pure.
 */
class objectives_in_use
{
public:
    /** Calls that targets make had objectives of 0.2 to 0.4 of the longest one
     * in the deployments known, calls of clients 0.6 and more. */
    static constexpr double short_part = 0.45;
    /** An objective of fewer of the calls is not in use. */
    static constexpr double least_share = 0.02;
    /** So many calls are looked back on; then each counts for half. */
    static constexpr double most_counted = 1000;

    /** A call with @p objective began. */
    void saw(milliseconds objective)
    {
        m_calls[objective] += 1;
        m_total += 1;
        if (m_total < most_counted)
            return;
        m_total /= 2;
        for (auto& each : m_calls)
            each.second /= 2;
    }

    /** @return the longest objective in use; zero before the first call. */
    milliseconds longest() const
    {
        milliseconds longest{0};
        for (const auto& [objective, calls] : m_calls)
            if (calls >= least_share * m_total)
                longest = std::max(longest, objective);
        return longest;
    }

    bool is_short(milliseconds objective) const
    {
        return static_cast<double>(objective.count()) <=
               short_part * static_cast<double>(longest().count());
    }

private:
    std::map<milliseconds, double> m_calls;
    double m_total = 0;
};

} // namespace tillerhall
