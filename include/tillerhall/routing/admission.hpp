/** @file Admission control of one target: slots, rate and queue. */
#pragma once

#include "tillerhall/core/token_bucket.hpp"
#include "tillerhall/routing/call_pacer.hpp"
#include "tillerhall/routing/caller_shares.hpp"
#include "tillerhall/routing/fair_queue.hpp"
#include "tillerhall/routing/rank_shares.hpp"
#include "tillerhall/routing/standing_queue.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace tillerhall
{

/** Limits in force at one target, from its table row and its settings. */
struct admission_limits
{
    std::int64_t in_flight = 12;             ///< calls running at once
    std::int64_t queue = 64;                 ///< calls waiting at once
    duration queue_wait = milliseconds(200); ///< zero: no call waits
    double rate_per_s = 0;                   ///< 0: no limit
};

/** The decision on a call that arrives. */
enum class admission_decision
{
    run,
    wait,
    rate_exceeded,
    queue_full,
    deadline_too_near
};

std::string_view name_of(admission_decision decision) noexcept;

/** The properties of a call that arrives which admission depends on. */
struct arriving_call
{
    std::string_view caller; ///< calling service or client account
    double weight = 1;       ///< share of the caller relative to the others
    time_point deadline{};
    std::uint32_t rank = 0;              ///< urgency; 0 is the most urgent
    bool nested = false;                 ///< made in the course of a run
    bool from_other_domain = false;      ///< its entry is in another domain
    bool returned = false;               ///< by its caller after a refusal
    bool late = false;                   ///< whatever its wait
    time_point due = time_point::max();  ///< end of the call's objective
    duration max_wait = duration::max(); ///< longest acceptable wait
    /** The same while the queue stands, see `standing_queue`. */
    duration short_wait = duration::max();
    duration run{}; ///< expected run time; zero: use the mean run time
};

/**
 * Slots, rate, pace and queue of one target.
 *
 * Free slots go to the most urgent rank that has waiting calls. One grant in
 * five goes out of turn to a less urgent rank, if one is served too rarely (see
 * `rank_shares`) and has a waiting call that can still be in time; such ranks
 * take turns. Within a rank the calls that runs have made go first, because a
 * refusal or a long wait wastes the run, then the calls of the own failure
 * domain, and calls that are late anyway go last. The callers (calling services
 * or client accounts) are served fairly, see `fair_queue`. A call is refused if
 * its deadline leaves no time for its expected run, or if it would wait longer
 * than it may. If the queue is full, the caller that holds the most of it gives
 * up its last place. Does no I/O apart from the wake functions; not
 * thread-safe, see `call_admission`.
 */
class admission
{
public:
    explicit admission(admission_limits limits);

    /** Replaces the limits; calls that are running are not affected. */
    void set_limits(const admission_limits& limits);

    /**
     * Sets the rate that the target has named, in calls a second; unset: none.
     * Calls wait for it as they wait for a slot.
     */
    void set_pace(std::optional<double> per_s, time_point now);

    /** @return the pace in calls a second; 0 without one. */
    double paced_per_s() const { return m_pacer.per_s(); }

    /**
     * Decides on a call. If the result is `wait`, the caller must enqueue a
     * waiter for it.
     */
    admission_decision arrive(time_point now, const arriving_call& call);

    /** @return when a call that arrives now and must wait gives up. While
     * there is a pace, not even calls that overtake it make it wait longer
     * than its maximum. */
    time_point give_up_at(time_point now, const arriving_call& call) const;

    /** Adds a call that must wait to the queue. */
    void enqueue(admission_waiter& waiter);

    /**
     * Removes a waiting call.
     * @return false if it has already been granted a slot or has expired.
     */
    bool give_up(admission_waiter& waiter);

    /** Ends a run that took @p took, and grants its slot to a waiting call. */
    void leave(time_point now, duration took);

    /** Grants free slots to waiting calls as far as the pace allows. */
    void grant_free_slots(time_point now);

    /** @return when a waiting call must call `grant_free_slots`, because the
     * pace may allow it then; the maximum without a pace. */
    time_point next_grant(time_point now) const;

    std::int64_t in_flight() const noexcept { return m_in_flight; }
    std::int64_t waiting() const noexcept { return m_waiting; }
    /** @return the number of callers that take memory in the queue. */
    std::size_t callers() const;
    std::int64_t peak_in_flight() const noexcept { return m_peak_in_flight; }
    const admission_limits& limits() const noexcept { return m_limits; }

    /** @return running and waiting calls as a share of the slots, or the used
     * share of the pace if that is more. */
    double load(time_point now) const;

    /** @return the time after which a refused caller can expect a free slot. */
    duration retry_after() const noexcept;

    /** Books the return of a call that was refused because of the pace.
     * @return the time after which it should return */
    duration book_return(time_point now);

    /**
     * @return how long @p call would wait if it arrived now: until a slot is
     * free, and for the runs of the calls ahead of it.
     */
    duration expected_wait(const arriving_call& call) const;

    /** @return whether calls of any rank find a standing queue. */
    bool stands(time_point now) const;

    /** Sets the duration of work at the target now relative to the usual. */
    void set_slowness(double slowness) noexcept { m_slowness = slowness; }

    /** @return the decaying mean of the run times at the target, at its present
     * slowness. */
    duration mean_run() const noexcept
    {
        return std::chrono::duration_cast<duration>(m_mean_run * m_slowness);
    }

private:
    void start_one(time_point now);
    /** Counts the run of an arriving or waiting call for its caller. */
    template <class Call>
    void count_use(const Call& call, time_point now);
    template <class Call>
    queued_call place_of(const Call& call) const;
    /** @return the wait for the pace of a call that arrives now. */
    duration pace_wait(const arriving_call& call, time_point now) const;
    admission_waiter* next_waiter(time_point now);
    bool can_finish(time_point now,
                    time_point deadline,
                    duration run) const noexcept;
    /** @return whether @p waiter could be in time when it arrived, but cannot
     * any more: another waiting call uses the slot better. */
    bool waited_too_long(time_point now,
                         const admission_waiter& waiter) const noexcept;
    /** @return @p run, or the mean run time if @p run is zero. */
    duration run_or_mean(duration run) const noexcept;
    /** The waiting calls of one rank, in the order in which they go: work that
     * has begun, the own domain's calls, the others', late calls. */
    class rank_queue
    {
    public:
        template <class Call>
        fair_queue& of(const Call& call)
        {
            return m_queues[index_of(call)];
        }
        std::size_t waiting() const;
        std::size_t callers() const;
        calls_ahead all() const;
        /** @return what goes before @p call. */
        calls_ahead ahead_of(const arriving_call& call,
                             const queued_call& place) const;
        admission_waiter* pop(time_point soon);
        /** @return whether a waiting call can still be in time. */
        bool can_be_in_time(time_point now) const;
        /** @return the call that makes room for @p call of the same rank, or
         * for any call of a more urgent one if @p call is null. */
        admission_waiter* evictable_for(const arriving_call* call,
                                        const queued_call& place);

    private:
        static constexpr std::size_t first_not_nested = 2;
        static constexpr std::size_t late_calls = 4;

        template <class Call>
        static constexpr std::size_t index_of(const Call& call)
        {
            return call.late ? late_calls
                             : (call.nested ? 0 : first_not_nested) +
                                   (call.from_other_domain ? 1 : 0);
        }

        std::array<fair_queue, late_calls + 1> m_queues;
    };
    using rank_queues = std::map<std::uint32_t, rank_queue>;

    /** Queues that may stand while the others of the rank don't. */
    enum class queue_class
    {
        nested,
        within_share,
        beyond_share
    };

    /** @return what goes before @p call if its rank gets no slots out of turn.
     */
    calls_ahead ahead_of(const arriving_call& call) const;
    /** @return the rank that gets the next slot. */
    rank_queues::iterator next_rank(time_point now);
    /** @return whether more urgent calls wait, but the rank of @p call gets
     * slots out of turn. */
    bool is_served_out_of_turn(const arriving_call& call) const;
    /** @return the time before which a call must begin that can't wait for one
     * more slot. */
    time_point soon(time_point now) const;
    /** @return the waiting call that must leave a full queue for @p call. */
    admission_waiter* evictable_for(const arriving_call& call);
    /** Removes @p waiter from the queue. */
    void remove(admission_waiter& waiter);

    admission_limits m_limits;
    token_bucket m_rate;
    call_pacer m_pacer;
    std::map<std::uint32_t, rank_queue> m_ranks; ///< with waiting calls
    /** @return the state of the queue of calls like @p call. */
    standing_queue& queue_of(const arriving_call& call, time_point now);

    caller_shares m_shares;
    std::map<std::pair<std::uint32_t, queue_class>, standing_queue> m_standing;
    time_point m_now{}; ///< of the last arrival
    rank_shares m_rank_shares;
    unsigned m_grants = 0;
    std::uint32_t m_last_out_of_turn = 0; ///< rank of the last such grant
    std::int64_t m_in_flight = 0;
    std::int64_t m_waiting = 0;
    std::int64_t m_peak_in_flight = 0;
    duration m_mean_run{}; ///< at the usual speed of the target
    double m_slowness = 1;
    int m_runs_counted = 0; ///< runs in the mean, at most `mean_runs`
};

} // namespace tillerhall
