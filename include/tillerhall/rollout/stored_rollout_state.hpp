/** @file The stored state of a roll-out. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/rollout/rollout_state.hpp"

#include <cstdint>
#include <string>

namespace tillerhall
{

/** The store's row on a roll-out's state, read by operators and by nodes that
 * start. */
struct stored_rollout_state
{
    std::string release;
    rollout_state state = rollout_state::running;
    /** Wall clock when a node first saw the order; 0 if unknown. */
    std::uint64_t started_at_ms = 0;
    std::uint64_t revision = 0; ///< of the row
};

} // namespace tillerhall
