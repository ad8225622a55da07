#include "tillerhall/routing/call_pacer.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

using seconds_f = std::chrono::duration<double>;

/** @return the time between two calls at @p per_s. */
duration interval_of(double per_s)
{
    const seconds_f longest = call_pacer::max_interval;
    const seconds_f interval(1 / std::max(per_s, 1 / longest.count()));
    return std::max(std::chrono::ceil<duration>(interval), duration(1));
}

} // namespace

void call_pacer::set_rate(std::optional<double> per_s, time_point now)
{
    const auto interval = per_s ? interval_of(*per_s) : duration::zero();
    if (interval == m_interval)
        return;
    const auto burst =
        std::clamp<duration>(interval, min_burst_span, max_burst_span);
    const auto latest = now + interval + burst;
    m_due = is_limited() ? std::min(m_due, latest) : latest;
    m_interval = interval;
    m_burst = burst;
}

void call_pacer::sent(time_point now)
{
    m_due = std::max(m_due, now) + m_interval;
}

duration call_pacer::wait(std::size_t ahead, time_point now) const
{
    if (!is_limited())
        return duration::zero();
    const auto due =
        std::max(m_due, now) + m_interval * static_cast<duration::rep>(ahead);
    return std::max(due - m_burst - now, duration::zero());
}

double call_pacer::used(time_point now) const
{
    if (!is_limited())
        return 0;
    const seconds_f early = std::max(m_due - now, duration::zero());
    return std::min(early / seconds_f(m_burst), 1.0);
}

double call_pacer::per_s() const
{
    return is_limited() ? 1 / seconds_f(m_interval).count() : 0;
}

duration call_pacer::book_return(std::size_t ahead, time_point now)
{
    const auto earliest = now + wait(ahead, now);
    const auto latest = std::max<time_point>(earliest, now + max_return_wait);
    m_last_return = std::clamp(m_last_return + m_interval, earliest, latest);
    return m_last_return - now;
}

} // namespace tillerhall
