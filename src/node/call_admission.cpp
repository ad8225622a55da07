#include "tillerhall/node/call_admission.hpp"
#include "tillerhall/core/await.hpp"

#include <boost/asio/post.hpp>
#include <memory>

namespace tillerhall
{

admission_decision call_admission::acquire(boost::asio::io_context& io,
                                           const admission_request& request)
{
    const auto now = steady_clock::now();
    const arriving_call call{.caller = request.caller,
                             .weight = request.weight,
                             .deadline = request.deadline,
                             .rank = request.rank,
                             .nested = request.nested,
                             .from_other_domain = request.from_other_domain,
                             .returned = request.returned,
                             .late = request.late,
                             .due = request.due,
                             .max_wait = request.max_wait,
                             .short_wait = request.short_wait,
                             .run = request.run};
    const auto timer = std::make_shared<boost::asio::steady_timer>(io);
    admission_waiter waiter;
    time_point give_up_at;
    {
        const std::lock_guard lock(m_mutex);
        const auto decision = m_admission.arrive(now, call);
        if (decision != admission_decision::wait)
            return decision;
        give_up_at = m_admission.give_up_at(now, call);
        waiter.caller = request.caller;
        waiter.weight = request.weight;
        waiter.rank = request.rank;
        waiter.nested = request.nested;
        waiter.from_other_domain = request.from_other_domain;
        waiter.returned = request.returned;
        waiter.late = request.late;
        waiter.due = request.due;
        waiter.run = request.run;
        waiter.deadline = request.deadline;
        // Shared, since the wakeup may be delivered after the wait.
        waiter.wake = [&io, timer]
        { boost::asio::post(io, [timer] { timer->cancel(); }); };
        m_admission.enqueue(waiter);
    }
    if (request.scope == nullptr)
        return wait_for_slot(*timer, waiter, give_up_at, nullptr);
    const cancel_action action(*request.scope, [timer] { timer->cancel(); });
    return wait_for_slot(*timer, waiter, give_up_at, request.scope);
}

admission_decision
call_admission::wait_for_slot(boost::asio::steady_timer& timer,
                              admission_waiter& waiter,
                              time_point give_up_at,
                              const cancel_scope* scope)
{
    while (true)
    {
        {
            const std::lock_guard lock(m_mutex);
            const auto now = steady_clock::now();
            m_admission.grant_free_slots(now);
            if (waiter.granted)
                return admission_decision::run;
            if (waiter.expired)
                return admission_decision::deadline_too_near;
            if (waiter.evicted)
                return admission_decision::queue_full;
            if (now >= give_up_at || (scope && scope->is_cancelled()))
            {
                m_admission.give_up(waiter);
                return admission_decision::queue_full;
            }
            timer.expires_at(std::min(give_up_at, m_admission.next_grant(now)));
        }
        boost::system::error_code ignored;
        timer.async_wait(await{ignored});
    }
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
    m_admission.grant_free_slots(steady_clock::now());
}

void call_admission::set_slowness(double slowness)
{
    const std::lock_guard lock(m_mutex);
    m_admission.set_slowness(slowness);
}

void call_admission::set_pace(std::optional<double> per_s)
{
    const std::lock_guard lock(m_mutex);
    m_admission.set_pace(per_s, steady_clock::now());
}

double call_admission::paced_per_s() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.paced_per_s();
}

duration call_admission::book_return()
{
    const std::lock_guard lock(m_mutex);
    return m_admission.book_return(steady_clock::now());
}

bool call_admission::stands() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.stands(steady_clock::now());
}

double call_admission::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.load(steady_clock::now());
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
