#include "tillerhall/routing/fleet_retry_budget.hpp"

#include <algorithm>

namespace tillerhall
{

void fleet_retry_budget::call(const fleet_retry_budget_limits& limits,
                              std::size_t members)
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, members));
    const double max_saved = std::max(1.0, limits.extra / nodes) * spent_part;
    // A whole token must fit, or a small node could never retry.
    m_saved =
        std::min(std::max(1.0, max_saved), m_saved + limits.ratio * spent_part);
}

bool fleet_retry_budget::take()
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

} // namespace tillerhall
