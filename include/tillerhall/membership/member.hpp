/** @file What the mesh knows of one node and its target. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/membership/good_run.hpp"
#include "tillerhall/membership/target_end.hpp"

#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** How a node stands; at equal incarnations the later state wins. */
enum class member_state
{
    alive,
    leaving,
    suspect,
    dead
};

/** How a node found its own target. */
enum class target_state
{
    serving,
    draining,
    down
};

std::string_view name_of(member_state state) noexcept;
std::string_view name_of(target_state state) noexcept;

/** Where a node stands in the mesh. */
struct member_place
{
    std::string region;
    std::string domain; ///< failure domain

    auto operator<=>(const member_place&) const = default;
};

/** One node's record, written by itself except for suspect and dead. */
struct member
{
    address rpc;       ///< control address; names the node
    address peer;      ///< takes calls from other nodes
    address caller;    ///< takes calls from callers
    address operators; ///< operator API
    member_place place;
    std::string service; ///< of its target
    address target;
    std::string target_id; ///< of its present start; empty if it tells none
    std::string release;   ///< of its target's software; empty if not told
    /** Starts of its target that have left, the newest last. */
    std::vector<std::string> left_targets;
    std::uint32_t link_mbps = 0; ///< of its host's link; 0 if not told
    /** Ends of its target while calls ran there, the newest last. */
    std::vector<target_end> target_ends;
    /** What ran well there though targets ended under it, the newest last. */
    std::vector<good_run> good_runs;
    target_state target_is = target_state::serving;
    member_state state = member_state::alive;
    /** Milliseconds at start, raised to refute; the greater record wins. */
    std::uint64_t incarnation = 0;

    bool operator==(const member&) const = default;
};

/** @return whether @p offered says something newer than @p known. */
bool supersedes(const member& offered, const member& known) noexcept;

/**
 * Adds @p left to the starts of @p to's target that have left: once true, it
 * stays true, whichever boot of the node told it. The newest eight are kept.
 * @return whether any was not known.
 */
bool add_left_targets(member& to, const std::vector<std::string>& left);

/**
 * Adds @p ends to those that @p to tells, whichever boot of the node saw them.
 * The newest four are kept.
 * @return whether any was not known.
 */
bool add_target_ends(member& to, const std::vector<target_end>& ends);

/** The same for @p runs; the newest sixteen are kept. */
bool add_good_runs(member& to, const std::vector<good_run>& runs);

/** Ends and good runs are told for as long as a call is ever held, so that
 * records stay small: each end may name 32 calls. */
inline constexpr std::chrono::hours news_kept{24};

/**
 * Forgets the ends and good runs from before @p oldest_ms, wall clock.
 * @return whether there were any.
 */
bool forget_news(member& of, std::uint64_t oldest_ms);

/** @return whether calls may be sent to this member's target. */
bool takes_calls(const member& checked) noexcept;

/**
 * @return whether this member is in a planned stop and its target still
 * serves: calls may be sent to it where no other takes them.
 */
bool serves_while_leaving(const member& checked) noexcept;

/** @return whether the member runs, as far as known (alive or leaving). */
bool is_live(const member& checked) noexcept;

/** @return the compact JSON form, an array. */
boost::json::value to_json(const member& sent);

/** Reads the compact JSON form. */
result<member> member_from_json(const boost::json::value& value);

/** A shared record that nobody changes. */
using member_ptr = std::shared_ptr<const member>;

/**
 * @return the key of a member: region, then failure domain, then the hash of
 * its address, so that a range of keys lies within few failure domains.
 */
std::uint64_t key_of(const member& keyed);

/** Low bits of a key that tell members of one failure domain apart. */
inline constexpr int key_node_bits = 48;

/** @return a hash of the whole record. */
std::uint64_t hash_of(const member& hashed);

} // namespace tillerhall
