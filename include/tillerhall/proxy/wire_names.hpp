/** @file Names of the header fields used by callers, targets and nodes. */
#pragma once

#include <string>

namespace tillerhall
{

/**
 * Names of the fields that the mesh reads and writes for the services around
 * it. An adapter for a platform with other names replaces the defaults.
 */
struct wire_names
{
    /** Identifies one try of a client; targets echo it. */
    std::string request_id = "X-Request-Id";
    /** Remaining milliseconds; sent by clients, and to targets. */
    std::string time_left = "Tillerhall-Deadline-Ms";
    /** Service of the host where a call began; set by the mesh. */
    std::string caller = "Tillerhall-Caller";
    /** Id of the target start that the call is for; any other start responds
     * with 421. */
    std::string expected_target = "Tillerhall-Expect-Target";
    /** Id of a target, in its responses to health checks. */
    std::string target_id = "Tillerhall-Target-Id";
    /** Present if a target refused a call without running it. */
    std::string not_run = "X-Not-Run";
    /** Field by which a target confirms a success; empty if none is used. */
    std::string success_seal;
    /** Client account of a call; set by the mesh. */
    std::string account = "Tillerhall-Account";
    /** Requests a second that a target takes from all nodes together. */
    std::string rate_limit = "Tillerhall-Rate-Limit";
    /** "1" in all responses of a target that is going to stop. */
    std::string leaving = "Tillerhall-Target-Leaving";
};

/** Fields that only nodes exchange, in a request to an owner. */
namespace hop_field
{
inline constexpr const char* service = "Tillerhall-Service";
inline constexpr const char* kind = "Tillerhall-Kind";
inline constexpr const char* rank = "Tillerhall-Rank";
/** Queue rank of the run that made the call, if that is known. */
inline constexpr const char* queue_rank = "Tillerhall-Queue-Rank";
/** Time until the end of that run's objective; may be negative. */
inline constexpr const char* parent_left_ms = "Tillerhall-Parent-Left-Ms";
/** Rank and name of the client account. */
inline constexpr const char* account_rank = "Tillerhall-Account-Rank";
inline constexpr const char* account_name = "Tillerhall-Account-Name";
/** Thousandths of the account's share in queues, if that is not 1. */
inline constexpr const char* account_weight = "Tillerhall-Account-Weight";
/** Present if the version has accounts; the account field of the client is
 * then replaced or removed. */
inline constexpr const char* has_accounts = "Tillerhall-Has-Accounts";
inline constexpr const char* origin = "Tillerhall-Origin"; ///< calling service
inline constexpr const char* time_left_ms = "Tillerhall-Left-Ms";
inline constexpr const char* objective_ms = "Tillerhall-Objective-Ms";
inline constexpr const char* nested = "Tillerhall-Nested"; ///< if made by a run
inline constexpr const char* elapsed_ms = "Tillerhall-Elapsed-Ms"; ///< if not 0
inline constexpr const char* probe = "Tillerhall-Trial"; ///< if it is a probe
/** Present if the entry is in another failure domain than the owner. */
inline constexpr const char* other_domain = "Tillerhall-Other-Domain";
/** If sent again after the target refused it while it had free slots. */
inline constexpr const char* repeat = "Tillerhall-Repeat";
/** In both directions: an owner has booked the call's return, see
 * `owner_call`. */
inline constexpr const char* return_handled = "Tillerhall-Return-Handled";
// In both directions, see `target_constraints`:
inline constexpr const char* target_start = "Tillerhall-Target-Start";
inline constexpr const char* target_limit = "Tillerhall-Target-Limit";
inline constexpr const char* target_leaving = "Tillerhall-Target-Left";
/** Marks a load query; nothing runs. */
inline constexpr const char* query = "Tillerhall-Asks";
/** In a load query: bytes of a body that needs a transfer slot. */
inline constexpr const char* claim = "Tillerhall-Claim";
// In an owner's answer:
inline constexpr const char* end = "Tillerhall-End"; ///< name of a `call_end`
/** With the end `not_run`: name of a `not_run_proof`. */
inline constexpr const char* proof = "Tillerhall-Proof";
inline constexpr const char* reached = "Tillerhall-Reached"; ///< "1" or "0"
// The last send of the call to the target, see `last_send`:
inline constexpr const char* sent_to = "Tillerhall-Sent-To";
inline constexpr const char* connection = "Tillerhall-Connection";
inline constexpr const char* place = "Tillerhall-Place";
inline constexpr const char* skipped = "Tillerhall-Skipped"; ///< if not 0
inline constexpr const char* load = "Tillerhall-Load";
inline constexpr const char* run_ms = "Tillerhall-Run-Ms";
inline constexpr const char* slots = "Tillerhall-Slots";
/** Slowness of the target in percent, if not 100. */
inline constexpr const char* slowness = "Tillerhall-Slowness";
inline constexpr const char* incoming = "Tillerhall-Incoming"; ///< if not 0
inline constexpr const char* link_backlog_ms =
    "Tillerhall-Link-Ms";                                      ///< if not 0
inline constexpr const char* saturated = "Tillerhall-Pressed"; ///< if saturated
inline constexpr const char* others_refuse = "Tillerhall-Alike";
inline constexpr const char* target_crashed = "Tillerhall-Target-Ended";
/** If the target refused the call while it had free slots. */
inline constexpr const char* with_room = "Tillerhall-With-Room";
/** Marks a response to no request: the node closes the connection and runs no
 * request that it has not answered. */
inline constexpr const char* goaway = "Tillerhall-Goaway";
inline constexpr const char* reason = "Tillerhall-Reason";
inline constexpr const char* retry_after_ms = "Tillerhall-Retry-Ms";
} // namespace hop_field

} // namespace tillerhall
