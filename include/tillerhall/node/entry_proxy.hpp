/** @file The entry node's side of a call: choice of a target, forwarding and
 * retries. */
#pragma once

#include "tillerhall/node/claim_controller.hpp"
#include "tillerhall/node/owner_proxy.hpp"
#include "tillerhall/observe/refusal_periods.hpp"
#include "tillerhall/routing/target_board.hpp"

#include <functional>

namespace tillerhall
{

/** Serves the calls of callers. Each worker has its own instance. */
class entry_proxy
{
public:
    /** Called on any worker with the address of an unreachable node. */
    using unreachable_callback = std::function<void(const address&)>;

    /** @param claims must be used on @p first_worker only */
    entry_proxy(const settings& config,
                blackboard& board,
                target_board& targets,
                owner_proxy& local,
                worker& own_worker,
                worker& first_worker,
                claim_controller& claims,
                unreachable_callback on_unreachable);

    /** Serves the calls on a caller's connection. */
    void serve(tcp_stream& stream);

private:
    void handle(inbound_call& call);
    relay_result forward(inbound_call& call, call_context& context);
    relay_result forward_claimed(inbound_call& call, call_context& context);
    relay_result run_with_retries(inbound_call& call, call_context& context);
    /** Answers a call whose claim was not granted. */
    relay_result answer_denied_claim(inbound_call& call,
                                     const call_context& context,
                                     const claim_answer& claim_reply);
    /** @param may_have_run set if an attempt ended with an unknown outcome */
    relay_result
    retry_loop(inbound_call& call, call_context& context, bool& may_have_run);
    /** @return the refusal of a call for which no owner can be tried. */
    relay_result refuse_without_target(const call_context& context);
    /** Pays for another try after @p last. */
    bool take_retry(const std::string& service, const relay_result& last);
    bool needs_claim(const inbound_call& call,
                     const call_context& context) const;
    relay_result attempt(inbound_call& call,
                         const call_context& context,
                         const chosen_target& chosen);
    relay_result send_to_peer(inbound_call& call,
                              const call_context& context,
                              const chosen_target& chosen,
                              time_point deadline);
    bool may_retry(const inbound_call& call,
                   const call_context& context,
                   const row& limits,
                   const relay_result& result);
    void record_call(const call_context& context, const relay_result& result);

    /** Returns why the call misses its service's objective, or an empty
     * string if it meets it. */
    std::string burn_cause(const call_context& context,
                           const relay_result& result,
                           double took_ms) const;
    std::string caller_name(tcp_stream& stream) const;

    const settings& m_config;
    blackboard& m_board;
    target_board& m_targets;
    owner_proxy& m_local;
    worker& m_worker;
    worker& m_first_worker;
    claim_controller& m_claims;
    unreachable_callback m_on_unreachable;
    stream_pool m_pool;
    refusal_periods m_denied_retries; ///< by service, for the log
};

} // namespace tillerhall
