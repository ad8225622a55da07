#include "tillerhall/rollout/rollout_state.hpp"

#include <algorithm>
#include <array>

namespace tillerhall
{
namespace
{
constexpr std::array<std::string_view, 4> state_names{
    "unread", "running", "rolled_back", "completed"};
constexpr std::array<std::string_view, 5> stage_names{"spread", "loaded",
                                                      "quarter", "half", "all"};
} // namespace

std::string_view name_of(rollout_state state) noexcept
{
    return state_names[static_cast<std::size_t>(state)];
}

std::string_view name_of(rollout_stage stage) noexcept
{
    return stage_names[static_cast<std::size_t>(stage)];
}

std::optional<rollout_state> rollout_state_named(std::string_view name)
{
    const auto found = std::ranges::find(state_names, name);
    if (found == state_names.end())
        return std::nullopt;
    return static_cast<rollout_state>(found - state_names.begin());
}

} // namespace tillerhall
