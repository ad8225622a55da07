/** @file Names of the header fields that callers, targets and nodes use. */
#pragma once

#include <string>

namespace tillerhall
{

/**
 * What the services around the mesh call the fields that the mesh reads and
 * writes. The defaults are the project's own; an adapter for a platform with
 * other names hands in its own table.
 */
struct wire_names
{
    /** Names one try of a client; targets echo it. */
    std::string request_id = "X-Request-Id";
    /** Milliseconds that are left; from clients, and to targets. */
    std::string time_left = "Tillerhall-Deadline-Ms";
    /** The service of the host where a call began; written by the mesh. */
    std::string caller = "Tillerhall-Caller";
    /** Which start of a target is meant; any other refuses with 421. */
    std::string expected_target = "Tillerhall-Expect-Target";
    /** Present when a target refused a call without running it. */
    std::string not_run = "X-Not-Run";
    /** With which a target vouches for a success; empty: it does not. */
    std::string proof;
    /** The account that a call is made for; written by the mesh. */
    std::string account = "Tillerhall-Account";
};

/** Fields that only nodes exchange, in a request to an owner. */
namespace hop_field
{
inline constexpr const char* service = "Tillerhall-Service";
inline constexpr const char* kind = "Tillerhall-Kind";
inline constexpr const char* rank = "Tillerhall-Rank";
/** Urgency of the account that the call is made for, and its name. */
inline constexpr const char* account_rank = "Tillerhall-Account-Rank";
inline constexpr const char* account_name = "Tillerhall-Account-Name";
/** Present where a version has accounts, so that no client's word of its own
 * account gets through. */
inline constexpr const char* has_accounts = "Tillerhall-Has-Accounts";
inline constexpr const char* origin = "Tillerhall-Origin"; ///< calling service
inline constexpr const char* time_left_ms = "Tillerhall-Left-Ms";
inline constexpr const char* objective_ms = "Tillerhall-Objective-Ms";
inline constexpr const char* nested = "Tillerhall-Nested"; ///< if made by a run
inline constexpr const char* elapsed_ms = "Tillerhall-Elapsed-Ms"; ///< if any
inline constexpr const char* probe = "Tillerhall-Trial"; ///< if it is one
/** Asks for the owner's load only; nothing runs. */
inline constexpr const char* query = "Tillerhall-Asks";
/** In a question: bytes of a body that wants its turn on the owner's link. */
inline constexpr const char* claim = "Tillerhall-Claim";
// In an owner's answer:
inline constexpr const char* end = "Tillerhall-End";         ///< a `call_end`
inline constexpr const char* reached = "Tillerhall-Reached"; ///< the target
inline constexpr const char* load = "Tillerhall-Load";
inline constexpr const char* run_ms = "Tillerhall-Run-Ms";
inline constexpr const char* slots = "Tillerhall-Slots";
inline constexpr const char* incoming = "Tillerhall-Incoming";       ///< if any
inline constexpr const char* link_backlog_ms = "Tillerhall-Link-Ms"; ///< if any
inline constexpr const char* saturated = "Tillerhall-Pressed";       ///< if so
inline constexpr const char* others_refuse = "Tillerhall-Alike";
inline constexpr const char* target_crashed = "Tillerhall-Target-Ended";
inline constexpr const char* reason = "Tillerhall-Reason";
inline constexpr const char* retry_after_ms = "Tillerhall-Retry-Ms";
} // namespace hop_field

} // namespace tillerhall
