#include "tillerhall/core/fiber_scheduler.hpp"

#include <boost/asio/post.hpp>

namespace tillerhall
{
namespace
{
bool is_worker_fiber(boost::fibers::context* fiber) noexcept
{
    return fiber->is_context(boost::fibers::type::worker_context);
}
} // namespace

void fiber_scheduler::awakened(boost::fibers::context* ready) noexcept
{
    ready->ready_link(m_ready);
    if (is_worker_fiber(ready))
        ++m_runnable;
}

boost::fibers::context* fiber_scheduler::pick_next() noexcept
{
    if (m_ready.empty())
        return nullptr;
    auto* next = &m_ready.front();
    m_ready.pop_front();
    if (is_worker_fiber(next))
        --m_runnable;
    return next;
}

bool fiber_scheduler::has_ready_fibers() const noexcept
{
    return !m_ready.empty();
}

void fiber_scheduler::suspend_until(
    const std::chrono::steady_clock::time_point& until) noexcept
{
    // Called only when the main fiber itself waits, as at shutdown.
    m_io.run_one_until(std::min(until, std::chrono::steady_clock::now() +
                                           std::chrono::milliseconds(10)));
}

void fiber_scheduler::notify() noexcept
{
    boost::asio::post(m_io, [] {});
}

} // namespace tillerhall
