/** @file Which objectives a node's calls have, to recognize short calls. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>
#include <map>

namespace tillerhall
{

/**
 * Recognizes calls whose objective is short compared with the longest one in
 * use. Objectives of routes with hardly any calls do not count: a configuration
 * version may hold hundreds of them with any objective. Does no I/O.
 */
class objectives_in_use
{
public:
    /**
     * An objective is short up to this share of the longest one in use. In
     * known deployments calls between targets had 0.2 to 0.4 of it, calls of
     * clients 0.6 and more.
     */
    static constexpr double short_share = 0.45;
    /** An objective is in use if at least this share of the calls has it. */
    static constexpr double min_share = 0.02;
    /** When this many calls are counted, all counts are halved. */
    static constexpr double max_counted = 1000;

    /** Counts a call with @p objective. */
    void count_call(milliseconds objective)
    {
        m_calls[objective] += 1;
        m_total += 1;
        if (m_total < max_counted)
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
            if (calls >= min_share * m_total)
                longest = std::max(longest, objective);
        return longest;
    }

    bool is_short(milliseconds objective) const
    {
        return static_cast<double>(objective.count()) <=
               short_share * static_cast<double>(longest().count());
    }

private:
    std::map<milliseconds, double> m_calls;
    double m_total = 0;
};

} // namespace tillerhall
