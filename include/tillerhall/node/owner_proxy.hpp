/** @file The owner's side of a call: admission and the target itself. */
#pragma once

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/stream_pool.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/node/call_admission.hpp"
#include "tillerhall/node/call_context.hpp"
#include "tillerhall/node/end_register.hpp"
#include "tillerhall/node/settings.hpp"

namespace tillerhall
{

/** Passes calls to the target beside this node; one object a worker. */
class owner_proxy
{
public:
    owner_proxy(const settings& config,
                blackboard& board,
                call_admission& places,
                end_register& ends,
                worker& on);

    /** Serves the calls that another node sends on @p stream. */
    void serve(tcp_stream& stream);

    /**
     * Runs one call at the target.
     * @param from_peer whether the caller is another node
     * @return how it ended; unless answered, nothing went to the caller.
     */
    relay_result
    run(inbound_call& call, const call_context& context, bool from_peer);

    /** @return the refusal of a call under which targets ended. */
    relay_result refuse_held(const call_hold& hold) const;

private:
    relay_result run_admitted(inbound_call& call,
                              const call_context& context,
                              time_point deadline,
                              bool from_peer);
    relay_result refuse(std::string why) const;
    /** Sends @p call to the target on @p stream. */
    relay_result relay(inbound_call& call,
                       const relay_plan& plan,
                       std::unique_ptr<tcp_stream> stream);
    /** @return whether the target refuses connections; asked after a call to
     * it was lost, since one that lost an answer takes another connection. */
    bool has_target_ended();

    const settings& m_config;
    blackboard& m_board;
    call_admission& m_places;
    end_register& m_ends;
    worker& m_worker;
    stream_pool m_pool;
};

} // namespace tillerhall
