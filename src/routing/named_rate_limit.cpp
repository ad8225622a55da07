#include "tillerhall/routing/named_rate_limit.hpp"

namespace tillerhall
{

void named_rate_limit::set_target(const std::string& start)
{
    if (start == m_start)
        return;
    m_start = start;
    m_per_s.reset();
    m_set_at = {};
    m_has_response = false;
}

bool named_rate_limit::take(std::optional<double> per_s,
                            time_point sent,
                            time_point now)
{
    m_has_response = true;
    const bool lowers = per_s && (!m_per_s || *per_s < *m_per_s);
    const bool is_newer = sent >= m_set_at;
    return (lowers || is_newer) && set(per_s, now);
}

bool named_rate_limit::adopt(double per_s, time_point now)
{
    const bool lowers = !m_per_s || per_s < *m_per_s;
    return !m_has_response && lowers && set(per_s, now);
}

bool named_rate_limit::set(std::optional<double> per_s, time_point now)
{
    if (per_s == m_per_s)
        return false;
    m_per_s = per_s;
    m_set_at = now;
    return true;
}

} // namespace tillerhall
