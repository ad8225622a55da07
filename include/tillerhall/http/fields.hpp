/** @file Names of the header fields that the mesh reads and writes. */
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
/** Remaining milliseconds; from callers, between nodes and to targets. */
inline constexpr std::string_view deadline = "Tillerhall-Deadline-Ms";
/** What became of a call that got no answer from its target. */
inline constexpr std::string_view outcome = "Tillerhall-Outcome";
/** The calling service, from entry to owner. */
inline constexpr std::string_view caller = "Tillerhall-Caller";
/** The owner's load as a share of its limit, from owner to entry. */
inline constexpr std::string_view load = "Tillerhall-Load";
inline constexpr std::string_view request_id = "X-Request-Id";
/** By which a caller marks repeats of one operation. */
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
/** Set in an answer that is given again. */
inline constexpr std::string_view replay = "Tillerhall-Replay";
} // namespace field_name

namespace outcome_value
{
inline constexpr std::string_view not_run = "not-run";
inline constexpr std::string_view unknown = "outcome-unknown";
inline constexpr std::string_view already_ran = "already-ran";
} // namespace outcome_value

/** Removes fields that hold for one connection only (RFC 9110, 7.6.1). */
void remove_hop_fields(boost::beast::http::fields& fields);

/** Removes the fields that only nodes may write. */
void remove_mesh_fields(boost::beast::http::fields& fields);

/**
 * @return why @p head must be refused: ambiguous framing or host, by which
 * a request could be smuggled past one hop; empty when it is sound.
 */
std::string framing_fault(const request_head& head);

/** @return the Host field without its port. */
std::string host_service(const request_head& head);

/** @return whether a method may be repeated by itself (RFC 9110, 9.2.2). */
bool is_repeatable_method(boost::beast::http::verb method) noexcept;

} // namespace tillerhall
