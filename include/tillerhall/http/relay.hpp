/** @file Forwards one call upstream and streams its answer back. */
#pragma once

#include "tillerhall/http/inbound_call.hpp"

#include <functional>
#include <optional>
#include <string>

namespace tillerhall
{

/** How forwarding a call ended. */
enum class relay_end
{
    answered,   ///< the complete answer was sent to the caller
    not_run,    ///< the call did not run; nothing was sent to the caller
    unknown,    ///< it may have run; nothing was sent to the caller
    timed_out,  ///< it may have run; nothing was sent to the caller
    cut,        ///< the caller got part of an answer and was disconnected
    caller_gone ///< the caller disconnected
};

/** A complete answer, stored for repeats of the call. */
struct stored_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/** Fields of an owner's refusal, for the entry only. */
namespace refusal_field
{
/** "0" if the target did not see the call. */
inline constexpr const char* reached = "Tillerhall-Reached";
/** Time for which the owner refuses all calls, in ms. */
inline constexpr const char* pause_ms = "Tillerhall-Pause-Ms";
} // namespace refusal_field

/** The result of forwarding a call. */
struct relay_result
{
    relay_end end = relay_end::unknown;
    unsigned status = 0;        ///< of the answer
    std::string detail;         ///< why, when not answered
    std::string retry_after;    ///< Retry-After of a refusal, in seconds
    std::optional<double> load; ///< reported by the owner
    /** The owner refuses all calls for so long; zero: this call only. */
    duration pause{};
    bool reached_target = true; ///< the target has, or may have, seen the call
    bool reusable = false;      ///< the upstream connection may be reused
    bool started = false;       ///< at least one byte was sent upstream
    std::optional<stored_answer> kept; ///< if requested and short enough
};

/** What the upstream is; decides which of its refusals are trusted. */
enum class upstream_kind
{
    peer,  ///< another node: its outcome field is trusted
    target ///< a target: only its not-run header is trusted
};

/** How to forward a call. */
struct relay_plan
{
    upstream_kind upstream = upstream_kind::target;
    request_head head;          ///< to send upstream, without framing
    time_point deadline;        ///< for the whole exchange
    std::string not_run_header; ///< set by a target on calls it did not run
    std::string request_id;     ///< set in the answer
    std::optional<double> load; ///< set in the answer, for an entry node
    bool store_answer = false;  ///< copy a short complete answer
    /** Called with the head of the upstream's answer or refusal. */
    std::function<void(const response_head&)> on_head;
};

/**
 * Sends @p call to @p upstream and its answer back to the caller.
 *
 * A body that is only partly in memory is sent to a peer after the peer's
 * 100 (Continue), so that a refusal costs no transfer of it. Nothing is sent
 * to the caller before the upstream's head is known not to be a refusal.
 */
relay_result
relay_call(inbound_call& call, tcp_stream& upstream, const relay_plan& plan);

} // namespace tillerhall
