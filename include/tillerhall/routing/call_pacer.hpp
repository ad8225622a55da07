/** @file Spreads the calls to a target that names a rate limit. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>
#include <optional>

namespace tillerhall
{

/**
 * The generic cell rate algorithm (ITU-T I.371): calls are due at even
 * intervals, and a call may be sent up to a burst span before it is due.
 *
 * In any window at most rate * (window + burst span) + 1 calls are sent, also
 * after a pause of the process. The bound is that of one sender: it answers for
 * the whole load only where all calls to the target pass through it. Does no
 * I/O.
 */
class call_pacer
{
public:
    /** Burst span. It keeps the rate in use when calls arrive unevenly: one
     * interval, between these limits. */
    static constexpr milliseconds min_burst_span{200};
    static constexpr milliseconds max_burst_span{1'000};
    /**
     * Interval of the calls at a rate of 0. Only a response can tell that a
     * limit has ended, so a few calls are sent under any limit.
     */
    static constexpr std::chrono::seconds max_interval{5};
    /** Longest time after which refused calls are told to return. */
    static constexpr std::chrono::seconds max_return_wait{1};

    /**
     * Sets the rate in calls a second; unset: no limit. The first call under
     * a limit is sent one interval later at the earliest.
     */
    void set_rate(std::optional<double> per_s, time_point now);

    bool is_limited() const noexcept { return m_interval > duration::zero(); }

    /** Counts a call that is sent. */
    void sent(time_point now);

    /** @return the time until a call may be sent after @p ahead others. */
    duration wait(std::size_t ahead, time_point now) const;

    /** @return the time until the next call may be sent. */
    duration wait(time_point now) const { return wait(0, now); }

    /** @return the used share of the burst; 1 while calls must wait. */
    double used(time_point now) const;

    /** @return calls a second; 0 without a limit. */
    double per_s() const;

    /**
     * Books a return of a refused call behind @p ahead waiting ones and the
     * returns booked before.
     * @return the time after which it should return
     */
    duration book_return(std::size_t ahead, time_point now);

private:
    duration m_interval{}; ///< between two calls; zero without a limit
    duration m_burst{};    ///< burst span
    time_point m_due{};    ///< of the next call
    time_point m_last_return{};
};

} // namespace tillerhall
