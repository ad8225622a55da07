/** @file Schedules the returns of calls that a full target refused. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace tillerhall
{

/** A call that is refused since no slot is free for it. */
struct slotless_call
{
    std::uint32_t rank = 0; ///< urgency; 0 is the most urgent
    duration left{};        ///< until its deadline
    duration in_time{};     ///< until its run can no longer end in time
    duration max_wait{};    ///< in the queue, once it has returned
    duration earliest{};    ///< a sooner return does not count as one
};

/** The slots of the target, as admission sees them. */
struct slot_supply
{
    std::int64_t slots = 1;
    duration mean_run{};
    duration free_after{}; ///< until a slot is free behind the waiting calls
};

/** When a refused caller is to return. */
struct return_time
{
    duration after{};
    bool is_booked = false; ///< a slot is likely free then
};

/**
 * Tells each caller that a full target refuses a time of its own to return.
 *
 * It answers the load of thousands of callers that are refused within a
 * fraction of a second: told the same time they would return together and be
 * refused again. The returns booked are spread at the rate at which slots
 * become free, less the calls that go before a return: those of more urgent
 * ranks and nested calls. An urgent call is booked as if less urgent ones were
 * not.
 *
 * A caller does not wait longer than a third of the time it has left, and a
 * return that would end late takes a slot from a call that could be in time. If
 * no slot is free by then, nothing is booked, and the caller is told to return
 * near the end of its third: by then the overload may be over, and until then
 * its return could only be refused. Callers retry once, so a returned call that
 * is refused is not booked again.
 *
 * An entry asks several owners and passes on the shortest time. So most
 * bookings are lost; the schedule learns the share that is kept and books as
 * many more. No slot is held for a return. Does no I/O.
 */
class return_schedule
{
public:
    /** Part of the time left after which callers do not wait any longer. */
    static constexpr int wait_divisor = 3;
    /** Part of the longest wait that is booked. The rest is for unbooked
     * returns, so that owners can tell them from booked ones by their age. */
    static constexpr double bookable_part = 0.75;
    /** Time from a refusal here until its caller reads it, with tries at other
     * owners in between. The caller's third is reckoned from then. */
    static constexpr milliseconds answer_delay{30};
    /** Limit of bookings; more returns than that are not expected. */
    static constexpr std::size_t max_bookings = 256;
    /** A booking is lost this long after its time. */
    static constexpr milliseconds expiry{100};
    /** Tolerance in the match of a returned call with its booking by the time
     * of the first try. */
    static constexpr milliseconds match_tolerance{60};
    /** Part of the usable slots that returns are booked for. The rest covers
     * runs that take longer than the mean. */
    static constexpr double booked_part = 0.8;
    /** The least part of the slots that a rank is taken to get. */
    static constexpr double min_part = 0.05;
    /** The least share of kept bookings: an entry asks up to four owners. */
    static constexpr double min_kept = 0.25;

    /** Books the return of a call refused on its first try. */
    return_time
    book(const slotless_call& call, const slot_supply& supply, time_point now);

    /** @return when a call for which nothing is booked is to return. */
    duration unbooked(const slotless_call& call);

    /** @return whether a call that returns after @p elapsed comes so late that
     * nothing was booked for it. */
    static bool is_unbooked(duration left, duration elapsed);

    /**
     * Removes the booking of a returned call.
     * @param elapsed since its first try
     * @return whether there was one
     */
    bool returned(std::uint32_t rank, duration elapsed, time_point now);

    /** Counts the start of a run. */
    void started(std::uint32_t rank, bool nested, time_point now);

    /** @return the returns that are booked and have not expired. */
    std::size_t booked(time_point now);

    /** @return the share of bookings that are kept. */
    double kept() const noexcept { return m_kept; }

private:
    struct booking
    {
        time_point due{}; ///< of the return
        time_point made_at{};
        std::uint32_t rank = 0;
    };

    /** A rate that decays without events. */
    struct decaying_rate
    {
        double per_s = 0;
        time_point updated_at{};

        double at(time_point now) const;
    };

    void expire(time_point now);
    void count_outcome(bool is_kept);
    /** @return the slots a second that returns of @p rank can use. */
    double usable_per_s(std::uint32_t rank, double freed_per_s, time_point now);

    std::vector<booking> m_bookings; ///< by `due`
    /** Starts by place in the queue: rank, nested calls first. */
    std::map<std::uint64_t, decaying_rate> m_starts;
    double m_kept = 1;
    unsigned m_unbooked = 0; ///< calls told no booked time
};

} // namespace tillerhall
