/** @file The membership record of one node and its target. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/membership/good_run.hpp"
#include "tillerhall/membership/target_crash.hpp"

#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** State of a node; at equal incarnations the later enumerator wins. */
enum class member_state
{
    alive,
    leaving,
    suspect,
    dead
};

/** State of a target as seen by its own node. */
enum class target_state
{
    serving,
    draining,
    down
};

std::string_view name_of(member_state state) noexcept;
std::string_view name_of(target_state state) noexcept;

/** Location of a node. */
struct member_place
{
    std::string region;
    std::string domain; ///< failure domain

    auto operator<=>(const member_place&) const = default;
};

/** Record of one node. Only the node itself writes it, except that others may
 * mark it suspect or dead. */
struct member
{
    address rpc;       ///< control address; identifies the node
    address peer;      ///< listens for calls from other nodes
    address caller;    ///< listens for calls from callers
    address operators; ///< operator API
    member_place place;
    std::string service; ///< of the target
    address target;
    std::string target_id; ///< of its current start; empty if not reported
    std::string release;   ///< of the target's software; empty if not reported
    /** Ids of earlier starts of the target that have departed, newest last. */
    std::vector<std::string> departed_targets;
    std::uint32_t link_mbps = 0; ///< of the host's link; 0 if unknown
    /** Crashes of the target while calls ran there, newest last. */
    std::vector<target_crash> target_crashes;
    /** Runs without a crash of calls that were listed in crashes, newest
     * last. */
    std::vector<good_run> good_runs;
    target_state target_is = target_state::serving;
    member_state state = member_state::alive;
    /** Unix time in ms at the start, raised to refute a suspicion; the record
     * with the greater incarnation wins. */
    std::uint64_t incarnation = 0;

    bool operator==(const member&) const = default;
};

/**
 * Returns whether an incarnation comes after another in serial number
 * arithmetic (RFC 1982): there is always a later one, also after the greatest
 * number, so that a node can refute any record of itself.
 */
bool is_later(std::uint64_t incarnation, std::uint64_t than) noexcept;

/** Returns the incarnation that comes next after both. */
std::uint64_t incarnation_after(std::uint64_t one,
                                std::uint64_t other) noexcept;

/** @return true if @p offered is newer than @p known. */
bool supersedes(const member& offered, const member& known) noexcept;

/**
 * Adds departed target starts to @p to. A start that has departed never
 * returns, so entries from earlier boots of the node stay valid. Keeps the
 * newest 8.
 * @return true if any was new.
 */
bool add_departed_targets(member& to, const std::vector<std::string>& left);

/**
 * Adds crashes to @p to, also those seen by earlier boots of the node. Keeps
 * the newest 4.
 * @return true if any was new.
 */
bool add_target_crashes(member& to, const std::vector<target_crash>& crashes);

/** Like `add_target_crashes`, for @p runs; keeps the newest 16. */
bool add_good_runs(member& to, const std::vector<good_run>& runs);

/** Retention of crashes and good runs in member records: as long as the longest
 * quarantine of a call. Bounds the size of the records. */
inline constexpr std::chrono::hours crash_evidence_kept{24};

/**
 * Removes crashes and good runs from before @p oldest_ms (Unix time).
 * @return true if any was removed.
 */
bool forget_crash_evidence(member& of, std::uint64_t oldest_ms);

/** @return true if calls may be sent to this member's target. */
bool takes_calls(const member& checked) noexcept;

/**
 * @return true if this member is in a planned stop and its target still
 * serves. Calls may be sent there if no other target takes them.
 */
bool serves_while_leaving(const member& checked) noexcept;

/** @return true if the member is alive or leaving. */
bool is_live(const member& checked) noexcept;

/** @return the compact JSON form: an array. */
boost::json::value to_json(const member& sent);

/** Reads the compact JSON form. */
result<member> member_from_json(const boost::json::value& value);

/** A shared immutable record. */
using member_ptr = std::shared_ptr<const member>;

/**
 * @return the key of a member: hashes of region, failure domain and address,
 * in this order, so that a key range spans few failure domains.
 */
std::uint64_t key_of(const member& keyed);

/** Number of low key bits that hold the hash of the address. */
inline constexpr int key_node_bits = 48;

/** @return a hash of all fields of the record. */
std::uint64_t hash_of(const member& hashed);

} // namespace tillerhall
