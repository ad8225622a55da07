/** @file Accepts calls from this host's clients and routes them to targets. */
#pragma once

#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/proxy/caller_check.hpp"
#include "tillerhall/proxy/client_answers.hpp"
#include "tillerhall/proxy/constraint_memory.hpp"
#include "tillerhall/proxy/entry_log.hpp"
#include "tillerhall/proxy/owner_choice.hpp"
#include "tillerhall/proxy/target_owner.hpp"
#include "tillerhall/quota/quota_gate.hpp"
#include "tillerhall/rollout/exposure_permits.hpp"
#include "tillerhall/routing/deadline_budgets.hpp"
#include "tillerhall/routing/fleet_retry_budget.hpp"
#include "tillerhall/routing/objectives_in_use.hpp"
#include "tillerhall/routing/refusal_cache.hpp"
#include "tillerhall/routing/share_sequence.hpp"
#include "tillerhall/routing/target_board.hpp"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <map>

namespace tillerhall
{

struct request_fault;

/** Settings of an entry. */
struct entry_settings
{
    address own;         ///< control address of this node
    member_place place;  ///< of this host
    std::string service; ///< of this host; sent as the caller of its calls
    fleet_retry_budget_limits budget;
};

/** Routes calls to targets; for fibers of one worker. */
class call_entry
{
public:
    /** Called with the address of a node that could not be reached. */
    using unreachable = std::function<void(const address&)>;

    call_entry(const entry_settings& config,
               const wire_names& names,
               blackboard& board,
               target_board& targets,
               target_owner& local,
               quota_gate& quotas,
               worker& on,
               unreachable report);

    /** Sets the plan of calls between failure domains, and where demand is
     * counted. */
    void set_capacity(entry_capacity& capacity)
    {
        m_capacity = &capacity;
        m_choice.set_capacity(capacity);
    }

    /** @return the time that the call of @p head has. */
    duration time_left(const request_head& head) const;

    /** @return the response to a call whose body does not fit into memory. */
    whole_response refuse_body(const request_head& head, duration retry_after);

    /** Sets the memory for bodies of responses. */
    void set_memory(memory_account& account) noexcept { m_memory = &account; }

    /** Routes one call of a client and returns the response to it. */
    whole_response answer(received_request& request, cancel_scope& scope);

    /**
     * Cancels all active calls when the node cannot wait any longer. Their
     * clients receive a response that leaves the outcome open.
     */
    void end_calls();

    /** Returns the response to a request that could not be parsed. */
    whole_response refuse(const request_fault& fault) const;

private:
    /** Nothing is sent to a target with less time left than this. */
    static constexpr milliseconds min_time_left{5};
    /** Retry-After of a refusal when no target takes work. */
    static constexpr milliseconds retry_without_target{100};

    /** State of this node for one service. */
    struct service_record
    {
        fleet_retry_budget budget;
        double failure_share = 0; ///< moving average over the runs
        exposure_permits permits; ///< for canary targets
    };

    /** One call and the results of its tries so far. */
    struct call_state
        : boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
        owner_call call;
        call_start begin;
        cancel_scope* scope = nullptr;
        const call_route* route = nullptr;
        std::uint64_t routes_version = 0; ///< that has the route
        std::vector<address> tried;
        unsigned targets_reached = 0;
        std::vector<address> crashed_at; ///< owners whose target crashed
        /** Refusals that other owners would repeat. */
        unsigned common_refusals = 0;
        /** See `retry_after_of`. */
        duration retry_after = duration::max();
        unsigned sends = 0; ///< to targets, repeats included
        std::optional<last_send> sent;
        bool may_have_run = false; ///< in a try without proof that it did not
        bool is_canary = false;    ///< the current try goes to a canary target
        bool has_parent = false; ///< made by an active run of the local target
        bool is_retry_paid = false; ///< for the next send to a target

        /** @return the key by which refusals of similar calls are cached. */
        refused_work refusal_key() const
        {
            return {call.work(), call.elapsed > duration::zero()};
        }
    };

    /** @return the caller, found by the key of the call or by the active runs
     * of the local target. */
    caller_identity caller_of(const whole_request& request,
                              const call_routes& routes,
                              const call_route& route);
    whole_response refuse_caller(const std::string& id,
                                 caller_status status) const;
    /** @return whether a newer version than that in force may lead a call. */
    bool may_lack_version() const;
    /** Refuses a call that no route of @p routes leads. */
    whole_response refuse_unrouted(const std::string& id,
                                   const whole_request& request,
                                   const call_routes& routes);
    /** @return the time until the account has quota again, if it has none. */
    std::optional<duration> over_quota(const caller_identity& caller);
    /** Sets the account for the target and removes the client's key. */
    void set_account(owner_call& call,
                     whole_request& request,
                     const caller_identity& caller);
    /** Sets what the route and the client determine: the service, kind and
     * rank, the deadline and the objective. */
    void set_terms(owner_call& call,
                   const call_route& route,
                   time_point received,
                   const std::optional<milliseconds>& left);
    /**
     * Sets whether a run of the local target made the call, and if not, how
     * long ago its client sent the first try.
     * @param left remaining time sent by the caller
     */
    void classify(owner_call& call, const std::optional<milliseconds>& left);
    owner_answer
    forward(received_request& request, call_state& state, cancel_scope& scope);
    /** @return the Retry-After of a call that is refused: the time that an
     * owner has booked for it, else the shortest of the owners' times. */
    static duration retry_after_of(call_state& state,
                                   const owner_answer& refusal);
    /** @return the owner to try next; owners in a planned stop come last. */
    chosen_owner choose_owner(const received_request& request,
                              call_state& state,
                              const service_targets& view);
    /** @return the owner of a canary target if this call may go to one. */
    member_ptr choose_canary(const received_request& request,
                             const call_state& state,
                             const service_targets& view);
    /** Adds exposure permits after a try that reached a target, or returns the
     * permit of a canary try that did not. */
    void update_exposure_permits(const call_state& state, bool reached);
    owner_answer try_owner(received_request& request,
                           call_state& state,
                           const member& owner,
                           cancel_scope& scope);
    /** Caches a refusal for a rate limit, or for lack of capacity while a
     * processor is saturated. */
    void record_refusal(const call_state& state,
                        const member& owner,
                        const owner_answer& answer,
                        time_point now);
    /** Queries the load of an owner on a connection of the call pool. */
    std::optional<load_report> query_load(const member& owner);
    /** Claims a transfer slot for a body on an owner's link.
     * @return the wait before the next claim, zero if the body may be sent;
     * nothing if the owner does not answer */
    std::optional<duration> claim_transfer_slot(const member& owner,
                                                std::uint64_t bytes);
    /** Counts a call that an owner in another domain has ended. */
    void record_crossing(const received_request& request,
                         const call_state& state,
                         const member& owner,
                         const owner_answer& answer);
    std::optional<owner_answer> query_owner(const member& owner,
                                            whole_request query);
    owner_answer send_to_peer(received_request& request,
                              const call_state& state,
                              const member& owner,
                              cancel_scope& scope);
    bool may_retry(const received_request& request,
                   call_state& state,
                   const owner_answer& last,
                   const cancel_scope& scope);
    /** @return whether an owner that has not refused the call may admit it. */
    static bool may_others_admit(const call_state& state);
    bool is_worth_retrying(const received_request& request,
                           const call_state& state,
                           const owner_answer& last);
    /** @return the quarantine of a call that crashed targets, if any. */
    std::optional<call_quarantine>
    quarantine_status(const received_request& request,
                      const call_state& state) const;
    /** Refuses a quarantined call, or sends it to the owner that probes it. */
    owner_answer forward_quarantined(received_request& request,
                                     call_state& state,
                                     const call_quarantine& quarantine,
                                     cancel_scope& scope);
    bool take_retry_budget(call_state& state, const owner_answer& last);
    /**
     * Decides after a refusal by a target that had free slots whether the call
     * is sent there again, and takes the send from the retry budget.
     */
    bool may_send_again(call_state& state,
                        const owner_answer& last,
                        const cancel_scope& scope);
    /** Sends the call to the owner, and again as far as it may be repeated
     * there. */
    owner_answer try_and_repeat(received_request& request,
                                call_state& state,
                                const member& owner,
                                cancel_scope& scope);
    /** Forwards the call to one owner after the other. */
    owner_answer try_owners(received_request& request,
                            call_state& state,
                            cancel_scope& scope);
    void record_outcome(const call_state& state,
                        const whole_request& request,
                        const owner_answer& answer);

    const entry_settings& m_config;
    const wire_names& m_names;
    blackboard& m_board;
    target_board& m_targets;
    target_owner& m_local;
    quota_gate& m_quotas;
    entry_capacity* m_capacity = nullptr;
    client_answers m_answers;
    owner_choice m_choice;
    unreachable m_report_unreachable;
    const worker& m_worker;
    entry_log m_log;
    random_source m_random{entropy_seed()};
    refusal_cache m_refusals;
    constraint_memory m_constraints;
    recent_runs m_recent_good_calls;
    stream_pool m_pool;
    memory_account* m_memory = nullptr;
    share_sequence m_shares;
    objectives_in_use m_objectives;
    deadline_budgets m_deadline_budgets;
    std::map<std::string, service_record> m_services;
    boost::intrusive::list<call_state,
                           boost::intrusive::constant_time_size<false>>
        m_active_calls;
    bool m_calls_cancelled = false;
};

} // namespace tillerhall
