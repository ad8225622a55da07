/** @file Counts of the last one to two spans of time. */
#pragma once

#include "tillerhall/core/time.hpp"

namespace tillerhall
{

/**
 * Counts of the span that is on and of the one before it, so that what is
 * told follows the last one to two spans however little is counted. @p Counts
 * begins at zero. Pure.
 */
template <class Counts>
class recent_window
{
public:
    explicit recent_window(duration span)
        : m_span(span)
    {
    }

    /** @return the counts to add to at @p now. */
    Counts& newest(time_point now)
    {
        turn(now);
        return m_newest;
    }

    /** @return the counts of the span before the one that is on at @p now. */
    const Counts& before(time_point now)
    {
        turn(now);
        return m_before;
    }

private:
    void turn(time_point now)
    {
        if (now < m_begin + m_span)
            return;
        m_before = now < m_begin + 2 * m_span ? m_newest : Counts{};
        m_newest = {};
        m_begin = now;
    }

    duration m_span;
    Counts m_newest{};
    Counts m_before{};
    time_point m_begin{};
};

} // namespace tillerhall
