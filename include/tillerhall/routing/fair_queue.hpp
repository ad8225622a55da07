/** @file A queue that several callers share fairly. */
#pragma once

#include "tillerhall/routing/admission_waiter.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace tillerhall
{

/** What goes before a call that arrives. */
struct calls_ahead
{
    double calls = 0;
    duration runs{}; ///< sum of their expected run times

    calls_ahead& operator+=(const calls_ahead& more) noexcept
    {
        calls += more.calls;
        runs += more.runs;
        return *this;
    }
};

/** A call that arrives, as far as its place in a `fair_queue` depends on it. */
struct queued_call
{
    std::string_view caller;
    double weight = 1;
    bool within_share = true; ///< its caller has used no more than its share
    time_point due{};
    duration cost{}; ///< expected run time
};

/**
 * Waiting calls, served in turns of their callers and by due time within each
 * caller. Calls that have returned after a refusal go before the others of
 * their caller that can wait.
 *
 * Answers the load of one caller (a service or client account) that sends many
 * times its usual calls: the others wait hardly longer. Callers that have used
 * no more than their share go before the others; among each of the two sets
 * deficit round-robin (Shreedhar and Varghese 1996) applies, over expected run
 * times and by the callers' weights. A caller without waiting calls takes no
 * memory. Does no I/O.
 */
class fair_queue
{
public:
    /** Weights beyond these bounds would let one turn last too long. */
    static constexpr double min_weight = 0.1;
    static constexpr double max_weight = 10;

    /** Adds a call whose run is expected to take @p cost. */
    void push(admission_waiter& waiter, duration cost);

    /** Removes a waiting call. */
    void remove(admission_waiter& waiter);

    /**
     * Removes and returns the next call; null if none waits.
     * @param soon of the caller that is next, a call that must begin before
     * this time goes first, then one that has returned
     */
    admission_waiter* pop(time_point soon = {});

    /** @return whether a waiting call can still be in time. */
    bool can_be_in_time(time_point now) const;

    /** @return what goes before @p call if no more calls arrive. */
    calls_ahead ahead_of(const queued_call& call) const;

    /** @return all waiting calls. */
    calls_ahead all() const noexcept
    {
        return {static_cast<double>(m_waiting), m_queued};
    }

    /** @return the last call of the caller that holds the largest part of the
     * queue by its weight; null if none waits. */
    admission_waiter* last_of_most();

    /** @return the same if that caller holds more than the caller of @p call
     * would with that call, else null. */
    admission_waiter* surplus(const queued_call& call);

    std::size_t waiting() const noexcept { return m_waiting; }

    /** @return the number of callers that take memory. */
    std::size_t callers() const noexcept { return m_flows.size(); }

private:
    using waiters =
        boost::intrusive::list<admission_waiter,
                               boost::intrusive::constant_time_size<false>>;

    /** The calls of one caller. */
    struct flow
        : boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
        std::string_view caller; ///< the key of the map
        double weight = 1;
        bool within_share = true; ///< when its last call arrived
        waiters calls;
        std::size_t waiting = 0;
        duration queued{}; ///< expected runs of the waiting calls
        duration credit{}; ///< left of its turn; negative: overdrawn
    };
    using flows =
        boost::intrusive::list<flow,
                               boost::intrusive::constant_time_size<false>>;

    /** @return the turn of a caller with @p weight. */
    duration turn(double weight) const noexcept;
    /** @return the callers that take turns with @p of. */
    flows& ring_of(const flow& of) noexcept
    {
        return of.within_share ? m_within_share : m_beyond_share;
    }
    /** @return the call of @p of that is next. */
    static admission_waiter& next_of(flow& of, time_point soon);
    /** @return the caller whose call is next. */
    flow& next_flow();
    void end_turn(flow& of);
    /** Credits the turns until the first caller of @p ring may run a call. */
    void skip_empty_rounds(flows& ring);
    /** @return the caller that holds the most; null if none waits. */
    flow* holder_of_most();
    /** Counts the removal of a call and forgets a caller without calls. */
    void removed(flow& from, const admission_waiter& waiter);

    std::map<std::string, flow, std::less<>> m_flows;
    flows m_within_share; ///< in the order of their turns
    flows m_beyond_share;
    std::size_t m_waiting = 0;
    duration m_queued{}; ///< expected runs of all waiting calls
};

} // namespace tillerhall
