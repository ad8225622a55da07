#include "tillerhall/core/token_bucket.hpp"

#include <algorithm>

namespace tillerhall
{

void token_bucket::refill(time_point now) noexcept
{
    if (m_started && now > m_refilled_at)
    {
        const std::chrono::duration<double> passed = now - m_refilled_at;
        m_tokens = std::min(m_burst, m_tokens + passed.count() * m_per_second);
    }
    m_refilled_at = m_started ? std::max(now, m_refilled_at) : now;
    m_started = true;
}

bool token_bucket::take(time_point now) noexcept
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

duration token_bucket::wait(time_point now) noexcept
{
    refill(now);
    if (m_tokens >= 1)
        return duration::zero();
    const std::chrono::duration<double> missing((1 - m_tokens) / m_per_second);
    return std::chrono::duration_cast<duration>(missing);
}

void token_bucket::set_rate(double per_second, double burst) noexcept
{
    m_per_second = per_second;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

void token_bucket::set_rate(double per_second,
                            double burst,
                            time_point now) noexcept
{
    refill(now);
    set_rate(per_second, burst);
}

} // namespace tillerhall
