#include "tillerhall/quota/account_usage.hpp"

#include <algorithm>
#include <tuple>

namespace tillerhall
{

void account_usage::set_accounts(const std::vector<client_account>& accounts)
{
    std::map<std::string, account_usage_row> kept;
    for (const auto& each : accounts)
    {
        auto& row = kept[each.name];
        if (const auto known = m_rows.find(each.name); known != m_rows.end())
            row = std::move(known->second);
        row.account = each.name;
        row.quota = each.quota;
    }
    m_rows = std::move(kept);
}

void account_usage::add(const std::vector<quota_counts>& counts)
{
    for (const auto& each : counts)
    {
        const auto found = m_rows.find(each.account);
        if (found == m_rows.end())
            continue;
        found->second.spent += each.admitted;
        found->second.refused += each.refused;
    }
}

std::vector<account_usage_row>
account_usage::rows(std::size_t limit, const std::string& name) const
{
    std::vector<const account_usage_row*> chosen;
    for (const auto& [account, row] : m_rows)
        if (name.empty() || account == name)
            chosen.push_back(&row);
    const auto count = std::min({limit, max_rows, chosen.size()});
    const auto end = chosen.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(
        chosen, end,
        [](const auto* a, const auto* b)
        {
            return std::tie(b->refused, b->spent, a->account) <
                   std::tie(a->refused, a->spent, b->account);
        });
    std::vector<account_usage_row> rows;
    std::transform(chosen.begin(), end, std::back_inserter(rows),
                   [](const auto* each) { return *each; });
    return rows;
}

} // namespace tillerhall
