/** @file The replicated record of one service's roll-out, and its merge. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/rollout/rollout_order.hpp"
#include "tillerhall/rollout/rollout_state.hpp"

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * The newest order for one service and the progress of its roll-out. Nodes
 * exchange whole records and merge them. The merge is commutative, associative
 * and idempotent but for `begun`, whose error is the transit time of a message.
 * State and stage of an order only advance.
 */
struct rollout_record
{
    static constexpr std::size_t max_regressed_targets = 16;
    static constexpr std::size_t max_closed = 8;

    rollout_order order;
    time_point begun{}; ///< when a node first saw the order
    std::string stable; ///< stable release before it; empty if not known
    rollout_state state = rollout_state::unread;
    rollout_stage stage = rollout_stage::spread;
    std::string reason; ///< of the state
    /** Ids of canary targets that do worse than the stable release. */
    std::vector<std::string> regressed_targets;
    /** Releases that were rolled back or given up; they get no calls. */
    std::vector<std::string> closed;

    time_point deadline() const { return begun + order.time; }
};

/** Merges @p offered into @p known. @return whether @p known changed. */
bool merge(rollout_record& known, const rollout_record& offered);

/** @return whether @p release must get no calls. */
bool is_closed(const rollout_record& known, const std::string& release);

/** @return the stable release: the ordered one once the roll-out is completed,
 * else the one before it. */
const std::string& stable_release(const rollout_record& known);

/** @return the compact JSON form, which has the age of the order. */
boost::json::value to_json(const rollout_record& sent, time_point now);

/** Throws std::exception on a malformed record. */
rollout_record rollout_record_from_json(const boost::json::value& value,
                                        time_point now);

} // namespace tillerhall
