#include "tillerhall/node/blackboard.hpp"

#include <array>

namespace tillerhall
{

std::string_view name_of(node_phase phase) noexcept
{
    constexpr std::array<std::string_view, 5> names{
        "joining", "ready", "resuming", "leaving", "ending"};
    return names[static_cast<std::size_t>(phase)];
}

} // namespace tillerhall
