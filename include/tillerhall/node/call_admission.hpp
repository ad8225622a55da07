/** @file Admission shared by the workers, with waiting calls. */
#pragma once

#include "tillerhall/http/cancel_scope.hpp"
#include "tillerhall/routing/admission.hpp"

#include <boost/asio/io_context.hpp>
#include <mutex>
#include <string>

namespace tillerhall
{

/** A call that asks for a place at the target. */
struct admission_request
{
    std::string caller; ///< service that calls, for fairness
    time_point deadline{};
    std::uint32_t rank = 0;               ///< urgency; 0 goes first
    time_point due{};                     ///< by which an answer is worth most
    duration most_wait = duration::max(); ///< refused if it would be more
    duration run{};                       ///< expected; zero: the mean run
    cancel_scope* scope = nullptr;        ///< ends the wait, if given
};

/** Guards one `admission`. Lock order: a leaf; wakes are only posted. */
class call_admission
{
public:
    explicit call_admission(const admission_limits& limits)
        : m_admission(limits)
    {
    }

    /**
     * Takes a place at the target, after waiting in the queue at need.
     * @param io of the calling fiber's worker
     * @return `run`, or why the call must be refused as not run.
     */
    admission_verdict acquire(boost::asio::io_context& io,
                              const admission_request& asked);

    /** Gives the place back after a run of @p took. */
    void release(duration took);

    void set_limits(const admission_limits& limits);

    double load() const;
    duration mean_run() const;
    duration retry_after() const;
    std::int64_t in_flight() const;
    std::int64_t most_in_flight() const;

private:
    mutable std::mutex m_mutex;
    admission m_admission;
};

} // namespace tillerhall
