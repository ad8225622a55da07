/** @file Takes calls from the clients of this host and leads them by routes. */
#pragma once

#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/proxy/caller_check.hpp"
#include "tillerhall/proxy/client_answers.hpp"
#include "tillerhall/proxy/entry_log.hpp"
#include "tillerhall/proxy/owner_choice.hpp"
#include "tillerhall/proxy/target_owner.hpp"
#include "tillerhall/quota/quota_gate.hpp"
#include "tillerhall/rollout/exposure_tickets.hpp"
#include "tillerhall/routing/fleet_budget.hpp"
#include "tillerhall/routing/objectives_in_use.hpp"
#include "tillerhall/routing/refusal_memory.hpp"
#include "tillerhall/routing/share_sequence.hpp"
#include "tillerhall/routing/target_board.hpp"
#include "tillerhall/routing/usual_budgets.hpp"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <map>

namespace tillerhall
{

struct request_fault;

/** What an entry is told by the settings. */
struct entry_settings
{
    address own;         ///< control address of this node
    member_place place;  ///< of this host
    std::string service; ///< of this host; the caller of every call here
    fleet_budget_limits budget;
};

/** Leads calls to targets; for fibers of one worker. */
class call_entry
{
public:
    /** Told of nodes that could not be reached. */
    using unreachable = std::function<void(const address&)>;

    call_entry(const entry_settings& config,
               const wire_names& names,
               blackboard& board,
               target_board& targets,
               target_owner& local,
               quota_gate& quotas,
               worker& on,
               unreachable report);

    /** Answers one call of a client. */
    whole_response answer(received_request& request, cancel_scope& scope);

    /**
     * Ends the calls under way, for a node that cannot wait any longer: their
     * clients are told that the outcome is not known.
     */
    void end_calls();

    /** Answers a request that was not understood. */
    whole_response refuse(const request_fault& fault) const;

private:
    /** With less time left nothing is sent any more. */
    static constexpr milliseconds min_time_left{5};
    /** When to come back where no target takes work. */
    static constexpr milliseconds retry_without_target{100};

    /** What this node has seen of one service. */
    struct service_record
    {
        fleet_budget budget;
        double failure_share =
            0; ///< decaying share of runs that ended in failure
        exposure_tickets permits; ///< to a release that is not proved
    };

    /** One call and what became of it so far. */
    struct call_state
        : boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
        owner_call call;
        call_start begin;
        cancel_scope* scope = nullptr;
        const call_route* route = nullptr;
        std::vector<address> tried;
        unsigned targets_reached = 0;
        std::vector<address> crashed_at; ///< whose targets ended meanwhile
        unsigned common_refusals = 0; ///< by owners that expect others to, too
        bool may_have_run = false;    ///< in a try whose answer is not known
        bool is_canary = false; ///< the present try is at a release on trial

        /** @return the sort of calls that an owner refuses with this one. */
        refused_work refusal_key() const
        {
            return {call.work(), call.elapsed > duration::zero()};
        }
    };

    /** @return who makes a call, by its key and by what runs here. */
    caller_identity caller_of(const whole_request& request,
                              const call_routes& routes,
                              const call_route& route);
    whole_response refuse_caller(const std::string& id,
                                 caller_standing standing) const;
    /** @return when the client may come back, if the account has spent all. */
    std::optional<duration> over_quota(const caller_identity& caller);
    /** Names the account for the target, and lets the key go no further. */
    void set_account(owner_call& call,
                     whole_request& request,
                     const caller_identity& caller);
    /** Sets what the route and the client say about the call. */
    void set_terms(owner_call& call,
                   const call_route& route,
                   time_point received,
                   const std::optional<milliseconds>& left);
    /**
     * Finds out whether the call was made by a run of the target here, and if
     * not, whether its client comes back. @param left as told by the caller
     */
    void classify(owner_call& call, const std::optional<milliseconds>& left);
    owner_answer
    forward(received_request& request, call_state& state, cancel_scope& scope);
    /** @return whom to ask next; those in a planned stop last. */
    chosen_owner choose_owner(const received_request& request,
                              call_state& state,
                              const service_targets& view);
    /** @return an owner of a target on trial, if this call may go there. */
    member_ptr choose_canary(const received_request& request,
                             const call_state& state,
                             const service_targets& view);
    /** Draws and gives back tickets by whether the try reached a target. */
    void update_exposure_permits(const call_state& state, bool reached);
    owner_answer try_owner(received_request& request,
                           call_state& state,
                           const member& owner,
                           cancel_scope& scope);
    /** Remembers a refusal for want of room while a processor is pressed. */
    void record_refusal(const call_state& state,
                        const member& owner,
                        const owner_answer& answer,
                        time_point now);
    /** Asks an owner for its load, on a connection that calls use. */
    std::optional<owner_word> query_load(const member& owner);
    /** Claims a turn for a body on an owner's link, in the same way. */
    std::optional<duration> claim_transfer_slot(const member& owner,
                                                std::uint64_t bytes);
    std::optional<owner_answer> query_owner(const member& owner,
                                            whole_request query);
    owner_answer send_to_peer(received_request& request,
                              const call_state& state,
                              const member& owner,
                              cancel_scope& scope);
    bool may_retry(const received_request& request,
                   const call_state& state,
                   const owner_answer& last,
                   const cancel_scope& scope);
    bool is_worth_retrying(const received_request& request,
                           const call_state& state,
                           const owner_answer& last);
    /** @return how the call is held since targets ended under it. */
    std::optional<call_hold> quarantine_status(const received_request& request,
                                               const call_state& state) const;
    /** Refuses a held call, or has it tried by the one owner that may. */
    owner_answer forward_quarantined(received_request& request,
                                     call_state& state,
                                     const call_hold& quarantine,
                                     cancel_scope& scope);
    bool take_retry_budget(const std::string& service,
                           const owner_answer& last);
    void record_outcome(const call_state& state,
                        const whole_request& request,
                        const owner_answer& answer);

    const entry_settings& m_config;
    const wire_names& m_names;
    blackboard& m_board;
    target_board& m_targets;
    target_owner& m_local;
    quota_gate& m_quotas;
    client_answers m_answers;
    owner_choice m_choice;
    unreachable m_report_unreachable;
    const worker& m_worker;
    entry_log m_log;
    random_source m_random{entropy_seed()};
    refusal_memory m_refusals;
    recent_runs m_recent_good_calls;
    stream_pool m_pool;
    share_sequence m_shares;
    objectives_in_use m_objectives;
    usual_budgets m_deadline_budgets;
    std::map<std::string, service_record> m_services;
    boost::intrusive::list<call_state,
                           boost::intrusive::constant_time_size<false>>
        m_active_calls;
    bool m_calls_cancelled = false;
};

} // namespace tillerhall
