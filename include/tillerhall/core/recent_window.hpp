/** @file Counts over a recent window of time. */
#pragma once

#include "tillerhall/core/time.hpp"

namespace tillerhall
{

/**
 * Counts in fixed spans of time and keeps two: the current one and its
 * predecessor, which together cover the last one to two spans. A value-
 * initialized @p Counts must be zero. Reads no clock.
 */
template <class Counts>
class recent_window
{
public:
    explicit recent_window(duration span)
        : m_span(span)
    {
    }

    /** @return the counts of the current span, to be added to. */
    Counts& current(time_point now)
    {
        rotate(now);
        return m_current;
    }

    /** @return the counts of the span that precedes the current one. */
    const Counts& previous(time_point now)
    {
        rotate(now);
        return m_previous;
    }

private:
    void rotate(time_point now)
    {
        if (now < m_begin + m_span)
            return;
        m_previous = now < m_begin + 2 * m_span ? m_current : Counts{};
        m_current = {};
        m_begin = now;
    }

    duration m_span;
    Counts m_current{};
    Counts m_previous{};
    time_point m_begin{};
};

} // namespace tillerhall
