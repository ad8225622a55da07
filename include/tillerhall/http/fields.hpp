/** @file Header fields that nodes read and write, and checks of heads. */
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>
#include <string_view>

namespace tillerhall
{

using request_head =
    boost::beast::http::request_header<boost::beast::http::fields>;
using response_head =
    boost::beast::http::response_header<boost::beast::http::fields>;

namespace field_name
{
/** Remaining time in ms; from callers, between nodes and to targets. */
inline constexpr std::string_view deadline = "Tillerhall-Deadline-Ms";
/** Outcome of a call without an answer of its target. */
inline constexpr std::string_view outcome = "Tillerhall-Outcome";
/** The calling service; from entry to owner. */
inline constexpr std::string_view caller = "Tillerhall-Caller";
/** The owner's load as a share of its limit; from owner to entry. */
inline constexpr std::string_view load = "Tillerhall-Load";
inline constexpr std::string_view request_id = "X-Request-Id";
/** Set by a caller, the same on all repeats of one operation. */
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
/** Set on a stored answer that is sent for a repeat. */
inline constexpr std::string_view replay = "Tillerhall-Replay";
} // namespace field_name

namespace outcome_value
{
inline constexpr std::string_view not_run = "not-run";
inline constexpr std::string_view unknown = "outcome-unknown";
inline constexpr std::string_view already_ran = "already-ran";
} // namespace outcome_value

/** Removes the hop-by-hop fields (RFC 9110, 7.6.1). */
void remove_hop_fields(boost::beast::http::fields& fields);

/** Removes the fields that only nodes may set. */
void remove_mesh_fields(boost::beast::http::fields& fields);

/**
 * @return why @p head must be refused: ambiguous framing or host, which would
 * allow request smuggling; empty if it is valid.
 */
std::string framing_fault(const request_head& head);

/**
 * @param method of the request that is answered
 * @return why no response with @p head can be passed on; empty if one can. Its
 * status must have a class of RFC 9110, and not be 101 (Switching Protocols),
 * for which no request asks. A body must have no transfer coding but chunked:
 * others cannot be decoded here, and their names are hop-by-hop fields.
 */
std::string response_fault(const response_head& head,
                           boost::beast::http::verb method);

/** @return whether @p head is that of an interim response; a final one
 * follows. */
bool is_interim(const response_head& head);

/** @return the Host field without its port. */
std::string host_service(const request_head& head);

/** @return true if @p method is idempotent (RFC 9110, 9.2.2). */
bool is_idempotent_method(boost::beast::http::verb method) noexcept;

} // namespace tillerhall
