/** @file The owner's decision whether a call may run at its target now. */
#pragma once

#include "tillerhall/core/token_bucket.hpp"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace tillerhall
{

/** Limits in force at one target, from its row and its settings. */
struct admission_limits
{
    std::int64_t in_flight = 12;
    std::int64_t queue = 64;
    duration queue_wait = milliseconds(200);
    double rate_per_s = 0; ///< 0 is no limit
};

/** What becomes of a call that arrives. */
enum class admission_verdict
{
    run,
    wait,
    rate_exceeded,
    queue_full,
    deadline_too_near
};

std::string_view name_of(admission_verdict verdict) noexcept;

/** What is known of a call that arrives. */
struct arriving_call
{
    time_point deadline{};
    std::uint32_t rank = 0;               ///< urgency; 0 goes first
    time_point due = time_point::max();   ///< by which an answer is worth most
    duration most_wait = duration::max(); ///< refused if it would be more
    duration run{};                       ///< expected; zero: the mean run
};

/** A call in the queue. It must leave the queue before it is destroyed. */
struct admission_waiter
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    std::string caller;     ///< service that calls, for fairness
    std::uint32_t rank = 0; ///< urgency; 0 goes first
    time_point deadline{};
    time_point due{}; ///< within a rank and caller the earliest goes first
    duration run{};   ///< expected; zero: the mean run
    bool granted = false;
    bool expired = false;
    std::function<void()> wake; ///< called once, when granted or expired
};

/**
 * Slots, rate and queue of one target.
 *
 * Free slots go to the most urgent rank that waits, but every few grants to
 * the next one, so that none starves. Within a rank they go to the callers'
 * services in turn, so that one service with many calls waiting cannot starve
 * the rest, and of one caller's calls the one that is due first. A call whose
 * deadline leaves no time for the mean run is refused instead of run in vain,
 * and so is one that would wait longer than it may. Pure but for the wake
 * functions; not safe for threads, see `call_admission`.
 */
class admission
{
public:
    explicit admission(admission_limits limits);

    /** New limits hold for what comes; what runs goes on. */
    void set_limits(const admission_limits& limits);

    /** Decides on a call; `wait` means that @p waiter should be enqueued. */
    admission_verdict arrive(time_point now, const arriving_call& call);

    /** Puts a call that must wait into the queue. */
    void enqueue(admission_waiter& waiter);

    /** A waiting call gave up. @return false if it had been granted. */
    bool give_up(admission_waiter& waiter);

    /** A call that ran is done after @p took; wakes those who may run now. */
    void leave(time_point now, duration took);

    std::int64_t in_flight() const noexcept { return m_in_flight; }
    std::int64_t waiting() const noexcept { return m_waiting; }
    std::int64_t most_in_flight() const noexcept { return m_most_in_flight; }
    const admission_limits& limits() const noexcept { return m_limits; }

    /** @return calls running and waiting as a share of the limit. */
    double load() const noexcept;

    /** @return when a refused caller may expect a free place. */
    duration retry_after() const noexcept;

    /**
     * @return how long a call of @p rank that is due at @p due would wait if
     * it came now: for a place, and for the runs of those that go before it.
     */
    duration expected_wait(std::uint32_t rank, time_point due) const noexcept;

    /** @return the mean time of a run at the target, decaying. */
    duration mean_run() const noexcept { return m_mean_run; }

private:
    using waiters =
        boost::intrusive::list<admission_waiter,
                               boost::intrusive::constant_time_size<false>>;

    void start_one();
    void grant_free_slots(time_point now);
    admission_waiter* next_waiter(time_point now);
    bool can_finish(time_point now,
                    time_point deadline,
                    duration run) const noexcept;
    /** @return @p run, or the mean run if that is not known. */
    duration run_or_mean(duration run) const noexcept;
    /** @return the runs of the calls of @p rank that are due before @p due. */
    duration runs_before(std::uint32_t rank, time_point due) const noexcept;

    admission_limits m_limits;
    token_bucket m_rate;
    /** One rank's queues, by calling service. */
    struct rank_queue
    {
        std::map<std::string, waiters> callers;
        std::string last_served;
        std::int64_t waiting = 0;
    };

    rank_queue* next_rank();

    std::map<std::uint32_t, rank_queue> m_ranks;
    unsigned m_grants = 0;
    std::int64_t m_in_flight = 0;
    std::int64_t m_waiting = 0;
    std::int64_t m_most_in_flight = 0;
    duration m_mean_run{};
    int m_runs_counted = 0; ///< in the mean, up to its weight
};

} // namespace tillerhall
