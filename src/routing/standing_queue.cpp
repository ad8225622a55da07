#include "tillerhall/routing/standing_queue.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// The limit falls from the longest to the short wait over this many times the
// longest, and not at once: otherwise all calls would be refused until the
// queue of a burst has drained.
constexpr double falls_over = 4;
// A queue that stands again within this time after a pause stood all the time.
constexpr std::chrono::seconds same_overload(5);

} // namespace

duration standing_queue::limit(time_point now,
                               duration expected,
                               duration short_wait,
                               duration max_wait)
{
    if (max_wait <= short_wait || now < m_short_until)
        return std::min(short_wait, max_wait);
    m_long_since = expected > short_wait ? std::min(m_long_since, now) : never;
    if (m_long_since == never || now - m_long_since <= max_wait)
        return max_wait;
    const auto stands_for = now - m_long_since - max_wait;
    const double fallen = static_cast<double>(stands_for.count()) /
                          static_cast<double>(max_wait.count()) / falls_over;
    if (fallen >= 1)
    {
        shorten(now);
        return short_wait;
    }
    const auto above = static_cast<double>((max_wait - short_wait).count());
    return short_wait +
           duration(static_cast<duration::rep>(above * (1 - fallen)));
}

bool standing_queue::stands(time_point now) const
{
    return m_short_until != time_point{} && now < m_short_until + same_overload;
}

void standing_queue::shorten(time_point now)
{
    m_pause = stands(now) ? std::min<duration>(2 * m_pause, max_pause)
                          : duration(min_pause);
    m_short_until = now + m_pause;
    m_long_since = never;
}

} // namespace tillerhall
