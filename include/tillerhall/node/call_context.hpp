/** @file What the nodes know of a call besides its bytes. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/http/fields.hpp"
#include "tillerhall/http/relay.hpp"
#include "tillerhall/node/call_log.hpp"

#include <string>

namespace tillerhall
{

/** Read from a call's head once, at each hop. */
struct call_context
{
    std::string service;
    std::string request_id;
    std::string caller; ///< the calling service, or an IP number
    time_point start;
    time_point deadline;                ///< the caller's own, if it gave one
    bool repeatable = false;            ///< by its method; a row may allow more
    std::vector<call_attempt> attempts; ///< for the account of the call
    std::string claim_key; ///< digest of a key that must be claimed, or empty
};

/** Reads the context; a request id is made if there is none to keep. */
call_context read_context(const request_head& head, time_point now);

/** @return @p head as it goes to the next hop under @p context. */
request_head onward_head(const request_head& head,
                         const call_context& context,
                         time_point deadline,
                         time_point now);

/**
 * @return the digest by which a keyed call is claimed, bound to the caller's
 * address and credentials, the service, the method and the target; empty for
 * a call without a key.
 */
std::string claim_key_of(const request_head& head,
                         const std::string& caller_ip);

/** @return the digest of the body as far as it is in memory, and its length. */
std::string body_digest(const inbound_call& call);

/** What a caller is told when it gets no target's answer. */
struct call_problem
{
    unsigned status = 503;
    std::string title;
    std::string detail;
    std::string remedy;
    std::string_view outcome = outcome_value::not_run;
    std::string retry_after; ///< seconds as text, empty for none
};

/** @return the problem that @p result is to the caller. */
call_problem problem_of(const relay_result& result);

/** Answers @p call with @p answer, given before for the same key. */
void send_replay(inbound_call& call,
                 const std::string& request_id,
                 const kept_answer& answer);

/**
 * Answers @p call with problem details (RFC 9457).
 * @param load the owner's load for an entry node
 */
void send_problem(inbound_call& call,
                  const std::string& request_id,
                  const call_problem& problem,
                  std::optional<double> load = std::nullopt);

} // namespace tillerhall
