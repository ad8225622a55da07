/** @file What this node has seen of every target it calls. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/answer_sizes.hpp"
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

/** How a call to a target ended, as far as choosing is concerned. */
enum class call_verdict
{
    good,
    refused, ///< not run; the target is full, not bad
    failed,
    unknown ///< ended from outside; says nothing about the target
};

/** What the owner of a target told with an answer. */
struct owner_word
{
    std::optional<double> load; ///< calls running and waiting, of its slots
    double run_ms = 0;          ///< mean run of that class of work; 0 unknown
    double slots = 0;           ///< of the target; 0 unknown
    /** Of bodies on their way to the owner; told only when it is asked. */
    std::uint64_t incoming_bytes = 0;
    /** The link takes so long for the answers before a new large one. */
    milliseconds link_backlog{0};
    /** The owner's processor has more to do than it can. */
    bool is_pressed = false;
};

/** Where a call comes from and what it carries, for its way to a target. */
struct call_origin
{
    const member_place* place = nullptr; ///< null: all ways are alike
    const address* node = nullptr;       ///< the entry; no way to itself
    std::size_t bytes = 0;               ///< of the call's body
    work_class work;                     ///< by which runs are compared
};

/** A call to a target that ended. */
struct ended_call
{
    call_verdict verdict = call_verdict::unknown;
    duration took{};
    owner_word told; ///< by the owner, with its answer
    work_class work;
    std::size_t answer_bytes = 0; ///< of its body; 0 unless answered
};

/** A target that was chosen for a call. */
struct chosen_target
{
    member_ptr owner;
    row limits;
};

/**
 * Chooses targets. First a failure domain by the table's weights, each cut
 * down by the share of its targets that fail or refuse, then a target there
 * by the policy; targets that failed lately are set aside, but
 * never more than half of a place, so that a failure of the observer cannot
 * empty a service. Safe for threads. Lock order: a leaf.
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
     * @param avoid owners already tried for this call
     * @return nothing when no target of @p service takes calls.
     */
    std::optional<chosen_target> choose(const route_view& routes,
                                        const std::string& service,
                                        const std::vector<address>& avoid,
                                        time_point now);

    /**
     * Chooses among @p candidates, which all serve one service.
     * @param from other domains are further away, bytes to them cost, and
     * full links take long
     * @return one that is not in @p avoid, or null.
     */
    member_ptr choose_among(const std::vector<member_ptr>& candidates,
                            const std::vector<address>& avoid,
                            const call_origin& from,
                            time_point now);

    /**
     * @return whether a target of @p service other than @p avoid may have a
     * free place, as far as owners have told. If none has, a refused call
     * tried elsewhere would only add to the load.
     */
    bool has_room(const route_view& routes,
                  const std::string& service,
                  const std::vector<address>& avoid,
                  time_point now);

    /** A call to @p owner begins. */
    void started(const address& owner);

    /** A call to @p owner ended. */
    void ended(const address& owner, const ended_call& call, time_point now);

    /** Takes the word of an owner that was asked; it took @p round_trip. */
    void told(const address& owner,
              const owner_word& word,
              duration round_trip,
              time_point now);

    /**
     * @return how long a call would be on the link of @p to: the wait before
     * it, as told a moment ago, and its own bytes; zero if not known.
     */
    duration
    time_on_link(const member& to, const call_origin& from, time_point now);

    /** @return what is known of @p owner for a call @p from. */
    owner_outlook
    outlook(const member& owner, const call_origin& from, time_point now);

    /** @return whether @p owner has a free place by the last that is known. */
    bool has_room(const address& owner);

    /** @return whether @p owner has told a moment ago that it is full. */
    bool seems_full(const address& owner, time_point now);

    /** @return the mean bytes of the answers to @p work; 0 if not known. */
    double answer_bytes(const work_class& work);

    /** Counts a call of @p service towards its retry budget. */
    void count_call(const std::string& service, std::int64_t percent);

    /** @return whether @p service 's budget allows one retry more. */
    bool take_retry(const std::string& service);

private:
    struct record
    {
        std::uint32_t in_flight = 0;
        double load = 0;
        /** By class of work: of a mean over all calls, a target that gets the
         * short ones would look quick and draw the others, too. */
        std::map<work_class, double> run_ms;
        double slots = 0;
        double failures = 0; ///< decaying share of recent calls
        double refusals = 0; ///< decaying share of recent calls
        double latency_ms = 0;
        double incoming_bytes = 0;    ///< at `asked`
        milliseconds link_backlog{0}; ///< at `told_at`
        time_point told_at{};         ///< when the owner told anything
        double round_trip_ms = 0;     ///< at `asked`
        time_point asked{};
        time_point first_seen{};
        time_point last_end{};
    };

    /** Picks by the policy, setting aside what failed lately. */
    member_ptr pick(const std::vector<member_ptr>& left,
                    const call_origin& from,
                    time_point now);
    const place_route* choose_place(const service_route& route,
                                    const std::vector<address>& avoid,
                                    time_point now);
    double effective_weight(const place_route& place,
                            const std::vector<address>& avoid,
                            time_point now);
    static void take_word(record& of, const owner_word& word, time_point now);
    record& record_of(const address& owner, time_point now);
    static bool has_free_place(const record& of);
    target_standing standing(const record& of, time_point now) const;
    /** @return milliseconds that an answer of @p bytes would need to leave the
     * host of @p to, behind those that its owner told of. */
    static double answer_link_ms(const member& to,
                                 const record& known,
                                 double bytes,
                                 time_point now);
    /** @return milliseconds, see `time_on_link`. */
    static double link_ms(const call_origin& from,
                          const member& to,
                          const record& known,
                          time_point now);

    const choice_policy& m_policy;
    std::mutex m_mutex;
    random_source m_random;
    std::map<address, record> m_records;
    answer_sizes m_answers;
    std::map<std::string, retry_budget> m_budgets;
    std::uint64_t m_turn = 0;
};

} // namespace tillerhall
