/** @file What a node knows of one service's roll-out, and merging of it. */
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
 * The newest order for one service and what has been found of it since. Nodes
 * tell each other whole records and merge them: merging is commutative,
 * associative and idempotent but for `begun`, which is as exact as the way of
 * a message is short. Nothing of one order ever goes back.
 */
struct rollout_record
{
    static constexpr std::size_t most_suspects = 16;
    static constexpr std::size_t most_closed = 8;

    rollout_order order;
    time_point begun{};  ///< when the order was first seen by anyone
    std::string settled; ///< release before it; empty if not known
    rollout_state state = rollout_state::unread;
    rollout_stage stage = rollout_stage::spread;
    std::string reason; ///< of the state
    /** Targets of the new release whose runs go badly, by id. */
    std::vector<std::string> suspects;
    /** Releases that were rolled back or given up; they get no calls. */
    std::vector<std::string> closed;

    time_point deadline() const { return begun + order.time; }
};

/** Takes into @p known what @p offered says. @return whether it changed. */
bool merge(rollout_record& known, const rollout_record& offered);

/** @return whether @p release gets no call by what @p known says. */
bool is_closed(const rollout_record& known, const std::string& release);

/** @return the release that has the calls until another takes over. */
const std::string& settled_release(const rollout_record& known);

/** @return the compact JSON form; it tells how long ago the order came. */
boost::json::value to_json(const rollout_record& sent, time_point now);

/** Throws std::exception on a bad record. */
rollout_record rollout_record_from_json(const boost::json::value& value,
                                        time_point now);

} // namespace tillerhall
