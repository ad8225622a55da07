#include "tillerhall/node/call_admission.hpp"
#include "tillerhall/core/await.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace tillerhall
{

admission_decision call_admission::acquire(boost::asio::io_context& io,
                                           const admission_request& request)
{
    const auto now = steady_clock::now();
    const auto timer = std::make_shared<boost::asio::steady_timer>(io);
    admission_waiter waiter;
    {
        const std::lock_guard lock(m_mutex);
        const auto decision =
            m_admission.arrive(now, {.deadline = request.deadline,
                                     .rank = request.rank,
                                     .due = request.due,
                                     .max_wait = request.max_wait,
                                     .run = request.run});
        if (decision != admission_decision::wait)
            return decision;
        timer->expires_at(
            std::min(request.deadline, now + m_admission.limits().queue_wait));
        waiter.caller = request.caller;
        waiter.rank = request.rank;
        waiter.due = request.due;
        waiter.run = request.run;
        waiter.deadline = request.deadline;
        // Shared, since the wakeup may be delivered after the wait.
        waiter.wake = [&io, timer]
        { boost::asio::post(io, [timer] { timer->cancel(); }); };
        m_admission.enqueue(waiter);
    }
    boost::system::error_code ignored;
    if (request.scope != nullptr)
    {
        const cancel_action action(*request.scope,
                                   [timer] { timer->cancel(); });
        timer->async_wait(await{ignored});
    }
    else
        timer->async_wait(await{ignored});
    const std::lock_guard lock(m_mutex);
    if (waiter.granted)
        return admission_decision::run;
    m_admission.give_up(waiter);
    return waiter.expired ? admission_decision::deadline_too_near
                          : admission_decision::queue_full;
}

void call_admission::release(duration took)
{
    const std::lock_guard lock(m_mutex);
    m_admission.leave(steady_clock::now(), took);
}

void call_admission::set_limits(const admission_limits& limits)
{
    const std::lock_guard lock(m_mutex);
    m_admission.set_limits(limits);
}

double call_admission::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.load();
}

duration call_admission::mean_run() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.mean_run();
}

duration call_admission::retry_after() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.retry_after();
}

std::int64_t call_admission::in_flight() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.in_flight();
}

std::int64_t call_admission::peak_in_flight() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.peak_in_flight();
}

} // namespace tillerhall
