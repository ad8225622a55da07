#include "tillerhall/routing/fleet_retry_budget.hpp"

#include <algorithm>

namespace tillerhall
{

void fleet_retry_budget::call(const fleet_retry_budget_limits& limits,
                              std::size_t members,
                              bool nested)
{
    m_calls_since_nested =
        nested ? 0 : std::min(nested_memory, m_calls_since_nested + 1);
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, members));
    const double max_saved = std::max(1.0, limits.extra / nodes) * spent_part;
    // A whole token must fit, or a small node could never retry.
    m_max_saved = std::max(1.0, max_saved);
    m_saved = std::min(m_max_saved, m_saved + limits.ratio * spent_ratio);
    m_reruns_saved =
        std::min(m_max_saved, m_reruns_saved + limits.ratio * rerun_ratio);
}

bool fleet_retry_budget::take(bool nested, bool is_rerun)
{
    const bool goes_first = nested || m_calls_since_nested == nested_memory;
    const double kept =
        goes_first ? 0 : std::min(kept_for_nested, m_max_saved - 1);
    if (m_saved < 1 + kept || (is_rerun && m_reruns_saved < 1))
        return false;
    m_reruns_saved -= is_rerun ? 1 : 0;
    m_saved -= 1;
    return true;
}

void fleet_retry_budget::give_back()
{
    m_saved = std::min(m_max_saved, m_saved + 1);
}

} // namespace tillerhall
