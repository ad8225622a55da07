/** @file Passes one call on and its answer back, both streamed. */
#pragma once

#include "tillerhall/http/inbound_call.hpp"

#include <optional>
#include <string>

namespace tillerhall
{

/** How passing a call on ended. */
enum class relay_end
{
    answered,   ///< the whole answer went to the caller
    not_run,    ///< it did not run, and nothing went to the caller
    unknown,    ///< it may have run; nothing went to the caller
    timed_out,  ///< it may have run; nothing went to the caller
    cut,        ///< the caller got part of an answer and was cut off
    caller_gone ///< nobody waits any more
};

/** A whole answer, kept to be given again. */
struct kept_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/** What passing a call on led to. */
struct relay_result
{
    relay_end end = relay_end::unknown;
    unsigned status = 0;        ///< of the answer
    std::string detail;         ///< why, when not answered
    std::string retry_after;    ///< of a refusal, seconds as text
    std::optional<double> load; ///< the owner's word
    bool reusable = false;      ///< the upstream connection may carry another
    bool started = false;       ///< at least one byte went upstream
    std::optional<kept_answer> kept; ///< if asked for and short enough
};

/** Who vouches for a refusal that comes from upstream. */
enum class upstream_kind
{
    peer,  ///< another node: its outcome field is believed
    target ///< a target: only its own published sign is believed
};

/** How a call is to be passed on. */
struct relay_plan
{
    upstream_kind upstream = upstream_kind::target;
    request_head head;          ///< as it goes upstream, framing excluded
    time_point deadline;        ///< for the whole exchange
    std::string not_run_header; ///< the target's sign of a call not run
    std::string request_id;     ///< set in the answer
    std::optional<double> load; ///< set in the answer, for an entry node
    bool keep_answer = false;   ///< copy a short whole answer
};

/**
 * Sends @p call to @p upstream and its answer back to the caller.
 *
 * A body that is not in memory whole goes to a peer only after the peer's
 * 100 (Continue), so a refusal there costs none of it. The answer to the
 * caller starts only once the upstream's head is known to be no refusal.
 */
relay_result
relay_call(inbound_call& call, tcp_stream& upstream, const relay_plan& plan);

} // namespace tillerhall
