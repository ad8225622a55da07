/** @file Per-call metadata, and the responses that nodes create themselves. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/http/fields.hpp"
#include "tillerhall/http/relay.hpp"
#include "tillerhall/node/call_log.hpp"

#include <string>

namespace tillerhall
{

/** Metadata of a call, read from its head once at each hop. */
struct call_context
{
    std::string service;
    std::string request_id;
    std::string caller; ///< calling service, or IP address
    time_point start;
    time_point deadline;                ///< set by the caller, else the maximum
    bool repeatable = false;            ///< by its HTTP method only
    std::vector<call_attempt> attempts; ///< attempts so far, for the call log
    std::string claim_key; ///< digest of a key to be claimed, or empty
};

/** Reads the context of a call; generates a request id if the head has no valid
 * one. */
call_context read_context(const request_head& head, time_point now);

/** Returns @p head as forwarded to the next hop: without hop-by-hop and mesh
 * fields, but with the request id and the time left until @p deadline. */
request_head forwarded_head(const request_head& head,
                            const call_context& context,
                            time_point deadline,
                            time_point now);

/**
 * Returns the digest that identifies a keyed call: of the key and the caller's
 * address and credentials, the service, the method and the request target.
 * Empty for a call without a key.
 */
std::string claim_key_of(const request_head& head,
                         const std::string& caller_ip);

/** Returns the digest of the buffered part of the body and of its length. */
std::string body_digest(const inbound_call& call);

/** Problem details for a call that gets no answer of a target. */
struct call_problem
{
    unsigned status = 503;
    std::string title;
    std::string detail;
    std::string remedy;
    std::string_view outcome = outcome_value::not_run;
    std::string retry_after;    ///< seconds as text, empty for none
    duration pause{};           ///< see `relay_result`
    bool reached_target = true; ///< see `relay_result`
};

/** Returns the problem details for @p result. */
call_problem problem_of(const relay_result& result);

/** Answers @p call with the stored @p answer of an earlier call with its
 * key. */
void send_replay(inbound_call& call,
                 const std::string& request_id,
                 const stored_answer& answer);

/**
 * Answers @p call with problem details (RFC 9457).
 * @param load the owner's load, sent to an entry node only, as are the fields
 * of `refusal_field`
 */
void send_problem(inbound_call& call,
                  const std::string& request_id,
                  const call_problem& problem,
                  std::optional<double> load = std::nullopt);

} // namespace tillerhall
