/** @file How far a roll-out has come, and its steps. */
#pragma once

#include <optional>
#include <string_view>

namespace tillerhall
{

/** How a roll-out stands; the later one of two is true. */
enum class rollout_state
{
    unread,      ///< ordered; whether it was ended before is not read yet
    running,     ///< the new release is looked at, or takes over
    rolled_back, ///< the new release gets no call any more
    completed    ///< the new release has all calls, the old one may end
};

/** The steps of a roll-out that runs, in their order. */
enum class rollout_stage
{
    spread, ///< few calls over several targets: does it fail at all
    loaded, ///< the same calls at few targets: does it fail under load
    quarter,
    half,
    all
};

std::string_view name_of(rollout_state state) noexcept;
std::string_view name_of(rollout_stage stage) noexcept;

/** @return the state called @p name, or nothing. */
std::optional<rollout_state> rollout_state_named(std::string_view name);

/** @return whether nothing about such a roll-out will change any more. */
constexpr bool is_ended(rollout_state state) noexcept
{
    return state == rollout_state::rolled_back ||
           state == rollout_state::completed;
}

} // namespace tillerhall
