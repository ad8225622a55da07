/** @file A rate of events, averaged over recent time. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>
#include <cmath>

namespace tillerhall
{

/** Counts events with weights that decay exponentially. Reads no clock. */
class decaying_rate
{
public:
    /** @param span time constant of the decay */
    explicit decaying_rate(duration span)
        : m_span(span)
    {
    }

    void add(double events, time_point now)
    {
        if (m_begin == time_point{})
            m_begin = m_at = now;
        m_count = count(now) + events;
        m_at = std::max(m_at, now);
    }

    /** @return the decayed number of events. */
    double count(time_point now) const
    {
        return now <= m_at ? m_count : m_count * std::exp(-spans(m_at, now));
    }

    /** @return events a second. Less than a tenth of the span of observation
     * is taken as that. */
    double per_s(time_point now) const
    {
        constexpr double min_seen = 0.1;
        const double seen = std::max(min_seen, spans(m_begin, now));
        return count(now) / (m_span.count() * (1 - std::exp(-seen)));
    }

private:
    double spans(time_point from, time_point to) const
    {
        return std::chrono::duration<double>(to - from) / m_span;
    }

    std::chrono::duration<double> m_span;
    double m_count = 0;
    time_point m_at{};
    time_point m_begin{};
};

} // namespace tillerhall
