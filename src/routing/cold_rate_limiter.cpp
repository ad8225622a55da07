#include "tillerhall/routing/cold_rate_limiter.hpp"

#include <algorithm>

namespace tillerhall
{

std::size_t cold_rate_limiter::calls_per_window(double per_s) noexcept
{
    return static_cast<std::size_t>(std::max(1.0, per_s));
}

void cold_rate_limiter::forget_old(time_point now)
{
    while (!m_sent.empty() && m_sent.front() + window <= now)
        m_sent.pop_front();
}

void cold_rate_limiter::sent(time_point now)
{
    forget_old(now);
    m_sent.push_back(now);
}

bool cold_rate_limiter::has_room(double per_s, time_point now)
{
    forget_old(now);
    return now >= m_started + window && m_sent.size() < calls_per_window(per_s);
}

double cold_rate_limiter::used(double per_s, time_point now)
{
    forget_old(now);
    if (now < m_started + window)
        return 1;
    return static_cast<double>(m_sent.size()) /
           static_cast<double>(calls_per_window(per_s));
}

duration cold_rate_limiter::wait(double per_s, time_point now)
{
    if (has_room(per_s, now))
        return duration::zero();
    const auto begin = m_started + window;
    const auto max_sent = calls_per_window(per_s);
    if (m_sent.size() < max_sent)
        return begin - now;
    // This call must leave the window before another one fits.
    const auto& oldest = m_sent[m_sent.size() - max_sent];
    return std::max(begin, oldest + window) - now;
}

} // namespace tillerhall
