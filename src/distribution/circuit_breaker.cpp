#include "tillerhall/distribution/circuit_breaker.hpp"

namespace tillerhall
{

bool circuit_breaker::succeeded() noexcept
{
    const bool was_open = is_open();
    m_failures = 0;
    m_waits.reset();
    m_open_until = {};
    return was_open;
}

bool circuit_breaker::failed(time_point now, random_source& random) noexcept
{
    ++m_failures;
    if (!is_open())
        return false;
    m_open_until = now + m_waits.next(random);
    return m_failures == m_limits.failures_to_open;
}

} // namespace tillerhall
