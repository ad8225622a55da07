/** @file States and stages of a roll-out. */
#pragma once

#include <optional>
#include <string_view>

namespace tillerhall
{

/** State of a roll-out. In a merge the later of two states holds. */
enum class rollout_state
{
    unread,      ///< ordered; an earlier outcome is not yet read from the store
    running,     ///< the canary release is under observation or takes over
    rolled_back, ///< the canary release gets no more calls
    completed    ///< the canary release has all calls; old targets may stop
};

/** The stages of a running roll-out, in order. */
enum class rollout_stage
{
    spread, ///< few calls over several targets: does it fail at all
    loaded, ///< the same calls at fewer targets: does it fail under load
    quarter,
    half,
    all
};

std::string_view name_of(rollout_state state) noexcept;
std::string_view name_of(rollout_stage stage) noexcept;

/** @return the state called @p name, or nothing. */
std::optional<rollout_state> rollout_state_named(std::string_view name);

/** @return whether the state is final. */
constexpr bool is_ended(rollout_state state) noexcept
{
    return state == rollout_state::rolled_back ||
           state == rollout_state::completed;
}

} // namespace tillerhall
