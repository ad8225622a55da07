#include "tillerhall/routing/link_schedule.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// A late body goes after all bodies that are due within this time, so it waits
// for them no longer than this. About the longest objective of calls with large
// answers.
constexpr std::chrono::seconds late_delay(2);

} // namespace

duration link_schedule::time_of(std::uint64_t bytes) const noexcept
{
    if (m_bytes_per_ms <= 0)
        return duration::zero();
    const std::chrono::duration<double, std::milli> time(
        static_cast<double>(bytes) / m_bytes_per_ms);
    return std::chrono::duration_cast<duration>(time);
}

void link_schedule::sent(std::uint64_t bytes, time_point now)
{
    m_clear_at = std::max(m_clear_at, now) + time_of(bytes);
}

bool link_schedule::must_wait(std::uint64_t bytes, time_point now) const
{
    if (bytes < large_bytes)
        return false;
    return any_waits() || now < next_grant();
}

void link_schedule::enqueue(link_waiter& waiter, time_point now)
{
    if (now + time_of(waiter.bytes) > waiter.due)
        waiter.due = now + late_delay;
    const auto behind =
        std::ranges::find_if(m_waiters, [&](const link_waiter& each)
                             { return each.due > waiter.due; });
    m_waiters.insert(behind, waiter);
    m_waiting_bytes += waiter.bytes;
}

void link_schedule::grant(time_point now)
{
    while (any_waits() && now >= next_grant())
    {
        auto& next = m_waiters.front();
        next.unlink();
        m_waiting_bytes -= next.bytes;
        sent(next.bytes, now);
        next.granted = true;
        next.wake();
    }
}

duration link_schedule::backlog(time_point now) const
{
    return std::max<duration>(m_clear_at - now, duration::zero()) +
           time_of(m_waiting_bytes);
}

} // namespace tillerhall
