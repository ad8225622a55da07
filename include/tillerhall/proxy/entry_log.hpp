/** @file Metrics and log lines of an entry. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/proxy/owner_answer.hpp"

namespace tillerhall
{

/** When a call was received, and the delay before its work began. */
struct call_start
{
    time_point received{}; ///< see `received_request`
    duration waited{};     ///< from `received` until its work began
    duration busy_for{};   ///< of the worker, when the work began
};

/** The tries of a call. */
struct call_progress
{
    unsigned targets_reached = 0;
    std::size_t owners_tried = 0;     ///< before the last one
    std::size_t targets_crashed = 0;  ///< while the call ran there
    unsigned sends = 0;               ///< to targets, repeats included
    std::optional<last_send> sent;    ///< unset if no target was reached
    std::string fingerprint;          ///< set if the outcome is unknown
    std::uint64_t routes_version = 0; ///< that led the call
};

/** Records the outcome of calls and the saturation of the processor. */
class entry_log
{
public:
    entry_log(blackboard& board, const address& own, const worker& on);

    /** Records that work on a call received at @p received begins. */
    call_start call_started(time_point received);

    /** Records the outcome; logs a line if no target answered. */
    void call_finished(const owner_call& call,
                       const call_start& begin,
                       const call_progress& progress,
                       const owner_answer& answer);

    /** Logs a line if a target has refused an unsafe call, which is then sent
     * again. */
    void call_sent_again(const owner_call& call, const owner_answer& refusal);

    /** Logs a line for a call that no route of @p routes leads. */
    void no_route(const std::string& id,
                  std::string_view host,
                  std::string_view target,
                  const call_routes& routes);

    /** Counts a call that was refused without asking an owner. */
    void call_refused(const std::string& reason);

private:
    /** Logs a change between a saturated and a free processor. */
    void log_saturation(duration busy_for);

    blackboard& m_board;
    const address& m_own;
    const worker& m_worker;
    latency_histogram& m_waits;
    bool m_was_saturated = false;
};

} // namespace tillerhall
