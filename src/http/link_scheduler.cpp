#include "tillerhall/http/link_scheduler.hpp"
#include "tillerhall/core/await.hpp"

namespace tillerhall
{

void link_scheduler::await_slot(std::uint64_t bytes, time_point due)
{
    const auto now = steady_clock::now();
    if (!m_schedule.must_wait(bytes, now))
        return m_schedule.sent(bytes, now);
    boost::asio::steady_timer granted(m_io, time_point::max());
    link_waiter waiter;
    waiter.bytes = bytes;
    waiter.due = due;
    waiter.wake = [&granted] { granted.cancel(); };
    const bool is_first = !m_schedule.any_waits();
    m_schedule.enqueue(waiter, now);
    if (is_first)
        grant_ready();
    boost::system::error_code ignored;
    while (!waiter.granted)
        granted.async_wait(await{ignored});
}

void link_scheduler::grant_ready()
{
    m_schedule.grant(steady_clock::now());
    if (!m_schedule.any_waits())
        return;
    m_grant_timer.expires_at(m_schedule.next_grant());
    m_grant_timer.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
                grant_ready();
        });
}

} // namespace tillerhall
