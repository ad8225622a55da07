/** @file What an entry counts and logs of its calls. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/proxy/owner_answer.hpp"

namespace tillerhall
{

/** When a call came, and what it met. */
struct call_start
{
    time_point received{}; ///< see `received_request`
    duration waited{};     ///< from then until its work began
    duration busy_for{};   ///< of the worker, at that moment
};

/** How far a call got. */
struct call_progress
{
    unsigned targets_reached = 0;
    std::size_t owners_tried = 0;    ///< and left for another one
    std::size_t targets_crashed = 0; ///< while it ran there
    std::string fingerprint;         ///< its fingerprint, if its end is unknown
};

/** Tells how calls went, and when the processor is pressed. */
class entry_log
{
public:
    entry_log(blackboard& board, const address& own, const worker& on);

    /** The work of a call that came at @p received begins. */
    call_start call_started(time_point received);

    /** A call has ended; one line if it got no target's answer. */
    void call_finished(const owner_call& call,
                       const call_start& begin,
                       const call_progress& progress,
                       const owner_answer& answer);

    /** A call was refused here; no owner was asked. */
    void call_refused(const std::string& reason);

private:
    /** Writes a line when the processor gets pressed, and when that ends. */
    void log_saturation(duration busy_for);

    blackboard& m_board;
    const address& m_own;
    const worker& m_worker;
    latency_histogram& m_waits;
    bool m_was_saturated = false;
};

} // namespace tillerhall
