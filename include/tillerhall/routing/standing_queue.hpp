/** @file How long calls may wait in a queue that may be a standing one. */
#pragma once

#include "tillerhall/core/time.hpp"

namespace tillerhall
{

/**
 * Tells a queue that bridges a short burst from one that stands.
 *
 * Answers bursts and lasting overload of one target. In a burst calls may wait
 * as long as they can still be in time. In a lasting overload a longer queue
 * serves no more calls, it only starts each of them later, so that what they
 * call in turn runs out of time. As in controlled delay (CoDel, Nichols and
 * Jacobson 2012), the queue counts as standing if its wait has not been short
 * for longer than its calls may wait; the limit then falls to the short wait.
 * After a pause longer waits are allowed again; the pause doubles while the
 * queue stands again each time. Does no I/O.
 */
class standing_queue
{
public:
    /** Bounds of the time for which a standing queue is kept short. */
    static constexpr milliseconds min_pause{1'000};
    static constexpr milliseconds max_pause{16'000};

    /**
     * Notes the expected wait of a call that arrives.
     * @param short_wait limit while the queue stands
     * @param max_wait the longest wait after which the call can be in time
     * @return the longest wait at which the call is admitted
     */
    duration limit(time_point now,
                   duration expected,
                   duration short_wait,
                   duration max_wait);

    /** @return whether the queue is kept short, or was until recently. */
    bool stands(time_point now) const;

private:
    static constexpr time_point never = time_point::max();

    /** Keeps the queue short for a pause. */
    void shorten(time_point now);

    time_point m_long_since = never; ///< the wait was not short
    time_point m_short_until{};      ///< end of the last pause
    duration m_pause = min_pause;
};

} // namespace tillerhall
