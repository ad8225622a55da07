#include "tillerhall/quota/quota_limit_changes.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

constexpr milliseconds min_announcement_interval(80);
// A share below this part of the announced one is announced at once.
constexpr double announced_ratio = 0.7;

} // namespace

bool quota_limit_changes::take(const std::vector<quota_limit>& limits,
                               time_point now)
{
    const bool is_due = std::ranges::any_of(
        limits,
        [this](const quota_limit& each)
        {
            const auto known = m_announced.find(each.account);
            const double share = known == m_announced.end() ? 1 : known->second;
            return each.admitted < share * announced_ratio;
        });
    if (is_due && now < m_announced_at + min_announcement_interval)
        return false; // retried with the next counts
    m_announced.clear();
    for (const auto& each : limits)
        m_announced[each.account] = each.admitted;
    if (is_due)
        m_announced_at = now;
    return is_due;
}

} // namespace tillerhall
