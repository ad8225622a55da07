/** @file The phases of a planned stop. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>

namespace tillerhall
{

/** When the phases of a planned stop end, counted from its signal. */
struct stop_schedule
{
    /** Readiness is checked each second and a node is removed after two failed
     * checks; until then it still receives calls. */
    static constexpr milliseconds max_serving{3'000};
    /** Largest share of the time for calls in which new ones are served. */
    static constexpr int serving_share_numerator = 3;
    static constexpr int serving_share_denominator = 5;
    /** Part of the grace period that is reserved for the last answers. */
    static constexpr milliseconds answer_margin{600};
    /** Callers rely on calls being finished in this share of the grace period,
     * also at a slow worker: 5/6. */
    static constexpr int finishing_share_numerator = 5;
    static constexpr int finishing_share_denominator = 6;
    /** Least time from the end of calls to the exit. */
    static constexpr milliseconds min_answer_time{100};
    /** The process exits so long before it would be killed. */
    static constexpr milliseconds exit_margin{100};

    time_point serve_until; ///< new calls are refused from then on
    time_point calls_end;   ///< calls without an answer end
    time_point exit_by;     ///< the process exits, whatever is left

    /**
     * A worker that handled the signal late will be late again, so the last
     * phases end earlier by that delay.
     * @param signal when the stop was asked for
     * @param handled when the worker handled the signal
     * @param grace time from the signal until the process is killed
     */
    static stop_schedule
    of(time_point signal, time_point handled, duration grace)
    {
        const auto delay =
            std::max<duration>(duration::zero(), handled - signal);
        const auto exit_after = grace - exit_margin - delay;
        const auto least =
            grace * finishing_share_numerator / finishing_share_denominator;
        const auto for_calls = std::max<duration>(
            duration::zero(),
            std::min<duration>(
                std::max<duration>(least, grace - answer_margin - delay),
                exit_after - min_answer_time));
        const auto serving = std::min<duration>(
            max_serving,
            for_calls * serving_share_numerator / serving_share_denominator);
        return {signal + serving, signal + for_calls, signal + exit_after};
    }
};

} // namespace tillerhall
