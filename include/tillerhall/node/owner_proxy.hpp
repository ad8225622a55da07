/** @file The owner node's side of a call: admission and the call to the
 * target. */
#pragma once

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/stream_pool.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/node/call_admission.hpp"
#include "tillerhall/node/call_context.hpp"
#include "tillerhall/node/crash_registry.hpp"
#include "tillerhall/node/settings.hpp"
#include "tillerhall/node/target_rate.hpp"

namespace tillerhall
{

/** Forwards calls to the local target. Each worker has its own instance. */
class owner_proxy
{
public:
    owner_proxy(const settings& config,
                blackboard& board,
                call_admission& admission_gate,
                crash_registry& crashes,
                target_rate& rate,
                worker& own_worker);

    /** Serves calls from another node on @p stream. */
    void serve(tcp_stream& stream);

    /**
     * Runs one call at the target.
     * @param from_peer true if the call came from another node
     * @return the result; unless its end is `answered` or `cut`, nothing was
     * sent to the caller
     */
    relay_result
    run(inbound_call& call, const call_context& context, bool from_peer);

    /** Returns the refusal of a poison call. */
    relay_result refuse_quarantined(const call_quarantine& quarantine) const;

private:
    relay_result run_admitted(inbound_call& call,
                              const call_context& context,
                              time_point deadline,
                              bool from_peer);
    relay_result refuse(std::string reason) const;
    /** Refuses a call that was not admitted to a slot. */
    relay_result refuse_admission(admission_decision decision) const;
    /** Sends @p call to the target on @p stream. */
    relay_result
    relay(inbound_call& call, const relay_plan& plan, pooled_stream stream);
    /** Returns true if the target refuses connections. Called after a lost
     * answer, to distinguish a crash from a lost connection. */
    bool has_target_crashed();

    const settings& m_config;
    blackboard& m_board;
    call_admission& m_admission;
    crash_registry& m_crash_registry;
    target_rate& m_rate;
    worker& m_worker;
    stream_pool m_pool;
};

} // namespace tillerhall
