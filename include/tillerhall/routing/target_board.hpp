/**
 * @file What this node knows of the targets it calls, and the choice among
 * them.
 */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/answer_sizes.hpp"
#include "tillerhall/routing/link_time.hpp"
#include "tillerhall/routing/load_inquiry.hpp"
#include "tillerhall/routing/policy.hpp"
#include "tillerhall/routing/retry_budget.hpp"
#include "tillerhall/routing/route_view.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/** Result of a call to a target, as far as the choice is concerned. */
enum class target_call_outcome
{
    good,
    refused,           ///< not run; the target is full but healthy
    refused_with_room, ///< not run, though the target has free slots
    rate_limited,      ///< not run; the target has named a rate limit
    failed,
    unknown ///< aborted from outside; says nothing about the target
};

/** The load report that an owner sends with an answer. */
struct load_report
{
    std::optional<double> load; ///< running and waiting calls, as a share of
                                ///< its slots
    double run_ms = 0; ///< mean run time of the class of work at the target's
                       ///< usual speed; 0: unknown
    double slots = 0;  ///< slots of the target; 0: unknown
    /** Request bodies in transit to the owner; only sent when it is asked. */
    std::uint64_t incoming_bytes = 0;
    /** Link time of the answers ahead of a new large one. */
    milliseconds link_backlog{0};
    /** True if the owner's processor is saturated. */
    bool is_saturated = false;
    double slowness = 1; ///< present duration of work relative to the usual
};

/** Where a call comes from and what it carries. */
struct call_origin
{
    const member_place* place = nullptr; ///< null: all distances are equal
    const address* node = nullptr; ///< the entry; its own link is not used
    std::size_t bytes = 0;         ///< size of the request body
    work_class work;               ///< run times are compared within it
};

/** A finished call to a target. */
struct ended_call
{
    target_call_outcome outcome = target_call_outcome::unknown;
    duration took{};
    load_report report; ///< sent by the owner with its answer
    work_class work;
    std::size_t answer_bytes = 0; ///< size of the answer body; 0 unless
                                  ///< answered
    duration pause{};             ///< for which the owner refuses all calls
};

/** The target chosen for a call, and its limits. */
struct chosen_target
{
    member_ptr owner;
    row limits;
};

/**
 * Chooses targets: first a failure domain by the table's weights, each reduced
 * by the share of its targets that fail or refuse, then a target there by the
 * policy. Targets that failed recently are set aside, but never more than half
 * of a domain, so that a fault of this node cannot empty a service.
 * Thread-safe. Lock order: a leaf.
 */
class target_board
{
public:
    explicit target_board(const choice_policy& policy, std::uint64_t seed)
        : m_policy(policy)
        , m_random(seed)
    {
    }

    /**
     * @param tried owners already tried for this call; owners that refuse all
     * calls for a pause are avoided as well
     * @return nothing if no target of @p service takes calls.
     */
    std::optional<chosen_target> choose(const route_view& routes,
                                        const std::string& service,
                                        const std::vector<address>& tried,
                                        time_point now);

    /**
     * @return the time until an owner of @p service takes calls that refuses
     * all of them until then, the shortest; zero if there is no such owner.
     */
    duration pause_left(const route_view& routes,
                        const std::string& service,
                        time_point now);

    /**
     * Chooses among @p candidates, which all serve one service.
     * @param from origin of the call, for the costs of distance and links
     * @return a member that is not in @p avoid, or null.
     */
    member_ptr choose_among(const std::vector<member_ptr>& candidates,
                            const std::vector<address>& avoid,
                            const call_origin& from,
                            time_point now);

    /**
     * @return true if a target of @p service other than @p avoid may have a
     * free slot according to the load reports. If none has, a retry of a
     * refused call elsewhere would only add to the load.
     */
    bool has_room(const route_view& routes,
                  const std::string& service,
                  const std::vector<address>& avoid,
                  time_point now);

    /** Counts a call to @p owner that begins. */
    void started(const address& owner);

    /** Records a finished call to @p owner. */
    void ended(const address& owner, const ended_call& call, time_point now);

    /**
     * Records the load report of an owner that was asked.
     * @param round_trip time between question and answer
     */
    void record_report(const address& owner,
                       const load_report& report,
                       duration round_trip,
                       time_point now);

    /** @return the time of a call on the link of @p to, the wait according to a
     * recent load report; zero if unknown. */
    link_time
    time_on_link(const member& to, const call_origin& from, time_point now);

    /** @return what is known of @p owner for a call @p from. */
    owner_estimate
    estimate(const member& owner, const call_origin& from, time_point now);

    /** @return true if @p owner had a free slot by its last load report. */
    bool has_room(const address& owner);

    /** @return true if @p owner recently reported that it is full. */
    bool seems_full(const address& owner, time_point now);

    /** @return whether calls to @p owner fail: the last one did, recently. */
    bool is_failing(const address& owner, time_point now);

    /** @return the mean answer size of @p work in bytes; 0 if unknown. */
    double answer_bytes(const work_class& work);

    /** Counts a call of @p service towards its retry budget. */
    void count_call(const std::string& service, std::int64_t percent);

    /**
     * Takes a retry from the budget of @p service.
     * @return false if there is none.
     */
    bool take_retry(const std::string& service);

private:
    struct record
    {
        std::uint32_t in_flight = 0;
        double load = 0;
        /**
         * By class of work: with one mean over all calls, a target that gets
         * the short ones would seem fast and attract the long ones, too.
         */
        std::map<work_class, double> run_ms;
        double slots = 0;
        double slowness = 1;          ///< at `reported_at`
        double failures = 0;          ///< decaying share of recent calls
        bool has_failed_last = false; ///< in the last call that ended
        double refusals = 0;          ///< decaying share of recent calls
        double latency_ms = 0;
        double incoming_bytes = 0;    ///< at `asked`
        milliseconds link_backlog{0}; ///< at `reported_at`
        time_point reported_at{};     ///< time of the last load report
        double round_trip_ms = 0;     ///< at `asked`
        time_point asked{};
        time_point first_seen{};
        time_point last_end{};
        time_point paused_until{}; ///< refuses all calls until then
    };

    /** Chooses by the policy, without targets that failed recently. */
    member_ptr pick(const std::vector<member_ptr>& left,
                    const call_origin& from,
                    time_point now);
    const place_route* choose_place(const service_route& route,
                                    const std::vector<address>& avoid,
                                    time_point now);
    double effective_weight(const place_route& place,
                            const std::vector<address>& avoid,
                            time_point now);
    static void
    take_report(record& target, const load_report& report, time_point now);
    /** Adds the owners of @p route that refuse all calls at @p now. */
    void add_paused(const service_route& route,
                    time_point now,
                    std::vector<address>& avoid) const;
    record& record_of(const address& owner, time_point now);
    static bool has_free_slot(const record& target);
    /** @return the slowness of @p target by its last report; 1 if that is old.
     */
    static double slowness_of(const record& target, time_point now);
    target_stats stats_of(const record& target, time_point now) const;
    /**
     * @return the milliseconds until an answer of @p bytes would have left the
     * host of @p to, behind the answers that its owner reported.
     */
    static double answer_link_ms(const member& to,
                                 const record& known,
                                 double bytes,
                                 time_point now);
    /** See `time_on_link`. */
    static link_time link_time_of(const call_origin& from,
                                  const member& to,
                                  const record& known,
                                  time_point now);

    const choice_policy& m_policy;
    std::mutex m_mutex;
    random_source m_random;
    std::map<address, record> m_records;
    answer_sizes m_answers;
    std::map<std::string, retry_budget> m_budgets;
    std::uint64_t m_choices = 0;
};

} // namespace tillerhall
