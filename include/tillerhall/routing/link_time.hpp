/** @file The time that a request's body takes on a host's link. */
#pragma once

#include "tillerhall/core/time.hpp"

namespace tillerhall
{

/** Time of a body on the link of the host that receives it. */
struct link_time
{
    double wait_ms = 0; ///< until the bytes before it have passed
    double own_ms = 0;  ///< for its own bytes

    /**
     * A body whose transfer takes more than this fraction of its objective is
     * mostly late, and delays the calls behind it on that link.
     */
    static constexpr int objective_divisor = 5;

    double total_ms() const { return wait_ms + own_ms; }

    /**
     * @return the time after which the body should be sent instead of now; zero
     * if now. A body that is late on an idle link as well is sent while the
     * others before it do not delay it by more than that fraction.
     */
    duration excess_wait(duration objective) const
    {
        const double limit_ms = exact_ms(objective / objective_divisor);
        const bool is_long = own_ms > limit_ms;
        const double counted_ms = is_long ? wait_ms : total_ms();
        return counted_ms > limit_ms
                   ? milliseconds(static_cast<std::int64_t>(counted_ms))
                   : milliseconds(0);
    }
};

} // namespace tillerhall
