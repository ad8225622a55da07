#include "tillerhall/table/config_table.hpp"
#include "tillerhall/core/digest.hpp"
#include "tillerhall/table/csv.hpp"

#include <algorithm>

namespace tillerhall
{

config_table::config_table(std::vector<row> rows)
    : m_rows(std::move(rows))
{
    std::ranges::stable_sort(m_rows, {}, &row::key);
    const auto duplicates = std::ranges::unique(m_rows, {}, &row::key);
    m_rows.erase(duplicates.begin(), duplicates.end());
}

const row* config_table::find(const row_key& key) const noexcept
{
    const auto found = std::ranges::lower_bound(m_rows, key, {}, &row::key);
    return found != m_rows.end() && found->key == key ? &*found : nullptr;
}

std::span<const row>
config_table::rows_of(std::string_view service) const noexcept
{
    const auto name = [](const row& each) -> std::string_view
    { return each.key.service; };
    const auto found = std::ranges::equal_range(m_rows, service, {}, name);
    return {found.begin(), found.end()};
}

void config_table::put(row added)
{
    const auto at = std::ranges::lower_bound(m_rows, added.key, {}, &row::key);
    if (at != m_rows.end() && at->key == added.key)
        *at = std::move(added);
    else
        m_rows.insert(at, std::move(added));
}

bool config_table::remove(const row_key& key)
{
    const auto at = std::ranges::lower_bound(m_rows, key, {}, &row::key);
    if (at == m_rows.end() || at->key != key)
        return false;
    m_rows.erase(at);
    return true;
}

std::set<std::string> config_table::services() const
{
    std::set<std::string> names;
    for (const auto& each : m_rows)
        names.insert(each.key.service);
    return names;
}

std::string config_table::digest() const
{
    return digest_of(write_csv(*this));
}

} // namespace tillerhall
