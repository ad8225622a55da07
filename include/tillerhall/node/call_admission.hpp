/** @file Thread-safe admission of calls, with a wait queue. */
#pragma once

#include "tillerhall/http/cancel_scope.hpp"
#include "tillerhall/routing/admission.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <string>

namespace tillerhall
{

/** A request for a slot at the target. */
struct admission_request
{
    std::string caller; ///< calling service or account, for fair queueing
    double weight = 1;  ///< share of the caller relative to the others
    time_point deadline{};
    std::uint32_t rank = 0;         ///< priority; 0 is the highest
    bool nested = false;            ///< made by a run, see `arriving_call`
    bool from_other_domain = false; ///< its entry is in another domain
    bool returned = false;          ///< by its caller after a refusal
    bool late = false;              ///< whatever its wait
    time_point due{};               ///< end of the call's latency objective
    duration max_wait = duration::max();   ///< longest acceptable queueing time
    duration short_wait = duration::max(); ///< the same while the queue stands
    duration run{};                        ///< expected run time; 0: the mean
    cancel_scope* scope = nullptr;         ///< cancels the wait; may be null
};

/** Makes an `admission` safe to use from all workers. Lock order: leaf; wake
 * callbacks are posted, never run under the lock. */
class call_admission
{
public:
    explicit call_admission(const admission_limits& limits)
        : m_admission(limits)
    {
    }

    /**
     * Takes a slot at the target, waiting in the queue if necessary.
     * @param io context of the calling fiber's worker
     * @return `run`, or the reason to refuse the call as not run
     */
    admission_decision acquire(boost::asio::io_context& io,
                               const admission_request& request);

    /** Releases the slot after a run that took @p took. */
    void release(duration took);

    void set_limits(const admission_limits& limits);

    /** Sets how slowly the target works, see `admission`. */
    void set_slowness(double slowness);

    /** Sets the rate that the target has named, see `admission`. */
    void set_pace(std::optional<double> per_s);
    double paced_per_s() const;

    /** @return the Retry-After of a call refused because of the pace. */
    duration book_return();

    /** @return whether the queue stands, see `standing_queue`. */
    bool stands() const;

    double load() const;
    duration mean_run() const;
    duration retry_after() const;
    std::int64_t in_flight() const;
    std::int64_t peak_in_flight() const;

private:
    /** Waits until @p waiter is granted a slot or must give up. */
    admission_decision wait_for_slot(boost::asio::steady_timer& timer,
                                     admission_waiter& waiter,
                                     time_point give_up_at,
                                     const cancel_scope* scope);

    mutable std::mutex m_mutex;
    admission m_admission;
};

} // namespace tillerhall
