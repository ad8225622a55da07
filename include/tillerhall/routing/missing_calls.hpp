/** @file Calls that a target was sent and does not have. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace tillerhall
{

/**
 * Derives from the loads that a target reports which calls it has left
 * unanswered: those that it neither runs nor has queued, and whose answers are
 * not under way. Answers a target that takes calls which it cannot queue;
 * without this each holds a slot until its deadline. Does no I/O.
 *
 * The round trip of a response that took no run bounds the time that requests
 * and answers are under way. The reported calls are compared with the settled
 * ones, those that were sent a round trip before. Answers that begin within a
 * round trip after the report may have been under way when it was made, so each
 * of them explains one settled call that the report lacks. What is left is the
 * number of missing calls, and once no other settled call is without an answer,
 * all that are left are missing. Two reports that are `confirm_time`
 * apart must prove it.
 */
class missing_calls
{
public:
    /** A report's round trip counts as at least this. */
    static constexpr milliseconds min_trip{5};
    /** Least time between the two reports. Answers are under way for longer
     * than a round trip if others begin to use the link after it. */
    static constexpr milliseconds confirm_time{100};
    /** Reports that are kept until they prove something or no longer can. */
    static constexpr std::size_t max_reports = 8;

    /** A reported load, with what the owner knew when it came. */
    struct report
    {
        std::int64_t calls = 0; ///< running and waiting, as reported
        /** Calls sent before `settled_until` whose answers have not begun. */
        std::int64_t settled = 0;
        /** When it was asked for; for the response to a run, a recent round
         * trip before it came. */
        time_point sent{};
        time_point received{};
    };

    /** @return until when calls must be sent to be settled in a report.
     * @param sent when the report was asked for */
    static time_point settled_until(time_point sent, time_point received);

    void take(const report& seen);

    /** Notes that the answer of a call that was sent at @p sent has begun.
     * @param arrived the earliest time at which it can have arrived */
    void answer_began(time_point sent, time_point arrived);

    /** Notes that a call ended before its answer began. */
    void call_ended(time_point sent);

    /** Forgets all reports: another start of the target is in use. */
    void reset() { *this = {}; }

    /** @return the time such that all calls which were sent until then, and
     * whose answers have not begun, are missing; nothing without proof. */
    std::optional<time_point> missing_until(time_point now);

private:
    /** What one report says of the calls that were settled in it. */
    struct evidence
    {
        time_point settled_until{};
        time_point received{};
        time_point in_transit_until{};
        std::int64_t unanswered = 0; ///< settled calls without an answer
        std::int64_t missing = 0;    ///< at least so many of them
    };

    /** Applies @p change to the reports in which a call was settled that was
     * sent at @p sent, and drops those that can prove nothing. */
    void update_settled(time_point sent,
                        const std::function<void(evidence&)>& change);

    std::vector<evidence> m_evidence; ///< the oldest first
    std::optional<evidence> m_proof;  ///< an earlier report
};

} // namespace tillerhall
