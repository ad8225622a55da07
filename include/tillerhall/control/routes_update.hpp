/** @file The message by which a reader announces the routes to its domain. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/distribution/key_range.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <set>
#include <string>

namespace tillerhall
{

/** The version in the store when it was last read, with its routes if new. */
struct routes_update
{
    std::string reader;         ///< control address
    std::size_t rank = 0;       ///< of the reader in its domain
    std::uint64_t version = 0;  ///< of the routes in force at the reader
    std::uint64_t revision = 0; ///< of the store, read up to here
    /** Since the latest time at which the store can have answered the reader;
     * each node that forwards the update adds the time that it held it. */
    std::int64_t store_age_ms = 0;
    /** From the earliest time at which it can have answered to the latest. */
    std::int64_t answer_ms = 0;
    std::int64_t relayed_ms = 0; ///< part of `store_age_ms`, at other nodes
    /** The reader's steady clock when it sent the update, 0: not told. */
    std::int64_t sent_ms = 0;
    /** The reader is receiving a newer answer of the store, which takes long.
     */
    bool is_receiving = false;
    std::string packed; ///< the packed routes; empty if not new
    /** Drained failure domains at `revision`. */
    std::set<std::string> drained;
    key_range range; ///< members to which the receiver forwards
};

/** An age is at least 0 and at most this, so that it can be added to times. */
constexpr std::chrono::hours max_update_age{24};

boost::json::object to_json(const routes_update& sent);

/** Throws std::exception on a bad message; the RPC layer counts it. */
routes_update routes_update_from_json(const boost::json::object& members);

} // namespace tillerhall
