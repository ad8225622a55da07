/** @file What the store says of a roll-out's state. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/rollout/rollout_state.hpp"

#include <cstdint>
#include <string>

namespace tillerhall
{

/** The row by which operators and later boots learn how a roll-out stands. */
struct stored_verdict
{
    std::string release;
    rollout_state state = rollout_state::running;
    /** Wall clock of the order's first sight; 0 if not told. */
    std::uint64_t begun_ms = 0;
    std::uint64_t revision = 0; ///< of the row
};

} // namespace tillerhall
