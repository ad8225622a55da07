/** @file The entry's side of a call: choosing, passing on, retrying. */
#pragma once

#include "tillerhall/node/claim_controller.hpp"
#include "tillerhall/node/owner_proxy.hpp"
#include "tillerhall/routing/target_board.hpp"

#include <functional>

namespace tillerhall
{

/** Takes calls from callers; one object a worker. */
class entry_proxy
{
public:
    /** Told of nodes that could not be reached; called on any worker. */
    using unreachable = std::function<void(const address&)>;

    /** @param claims lives on the worker @p first */
    entry_proxy(const settings& config,
                blackboard& board,
                target_board& targets,
                owner_proxy& local,
                worker& on,
                worker& first,
                claim_controller& claims,
                unreachable report);

    /** Serves the calls on a caller's connection. */
    void serve(tcp_stream& stream);

private:
    void handle(inbound_call& call);
    relay_result pass_on(inbound_call& call, call_context& context);
    relay_result pass_on_once(inbound_call& call, call_context& context);
    relay_result try_targets(inbound_call& call, call_context& context);
    relay_result answer_claim(inbound_call& call,
                              const call_context& context,
                              const claim_answer& claimed);
    relay_result
    try_each(inbound_call& call, call_context& context, bool& may_have_run);
    bool must_be_claimed(const inbound_call& call,
                         const call_context& context) const;
    relay_result attempt(inbound_call& call,
                         const call_context& context,
                         const chosen_target& chosen);
    relay_result send_to_peer(inbound_call& call,
                              const call_context& context,
                              const chosen_target& chosen,
                              time_point deadline);
    bool may_try_again(const inbound_call& call,
                       const call_context& context,
                       const row& limits,
                       const relay_result& result);
    void count(const call_context& context, const relay_result& result);

    /** @return why the call misses its service's objective, empty if not. */
    std::string burn_cause(const call_context& context,
                           const relay_result& result,
                           double took_ms) const;
    std::string caller_name(tcp_stream& stream) const;

    const settings& m_config;
    blackboard& m_board;
    target_board& m_targets;
    owner_proxy& m_local;
    worker& m_worker;
    worker& m_first;
    claim_controller& m_claims;
    unreachable m_report;
    stream_pool m_pool;
};

} // namespace tillerhall
