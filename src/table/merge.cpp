#include "tillerhall/table/merge.hpp"
#include "tillerhall/table/column.hpp"
#include "tillerhall/table/csv.hpp"

#include <set>

namespace tillerhall
{
namespace
{

constexpr std::string_view no_row = "(no row)";

bool is_same_row(const row* left, const row* right)
{
    if (left == nullptr || right == nullptr)
        return left == right;
    return *left == *right;
}

std::string row_text(const row* shown)
{
    return shown == nullptr ? std::string(no_row) : write_csv_row(*shown);
}

/** Merges a row that all three tables have. */
row merge_cells(const row& base,
                const row& mine,
                const row& theirs,
                std::vector<merge_conflict>& conflicts)
{
    row merged = theirs;
    for (const auto& each : columns())
    {
        const auto field = each.field;
        if (mine.*field == base.*field || mine.*field == theirs.*field)
            continue;
        if (theirs.*field == base.*field)
            merged.*field = mine.*field;
        else
            conflicts.push_back({base.key, std::string(each.name),
                                 cell_text(base, each), cell_text(mine, each),
                                 cell_text(theirs, each)});
    }
    return merged;
}

std::set<row_key> keys_of(const config_table& table)
{
    std::set<row_key> keys;
    for (const auto& each : table.rows())
        keys.insert(each.key);
    return keys;
}

} // namespace

merge_outcome merge(const config_table& base,
                    const config_table& mine,
                    const config_table& theirs)
{
    merge_outcome outcome{theirs, {}};
    auto keys = keys_of(base);
    keys.merge(keys_of(mine));
    for (const auto& key : keys)
    {
        const auto* in_base = base.find(key);
        const auto* in_mine = mine.find(key);
        const auto* in_theirs = theirs.find(key);
        if (is_same_row(in_mine, in_base) || is_same_row(in_mine, in_theirs))
            continue;
        if (in_base != nullptr && in_mine != nullptr && in_theirs != nullptr)
            outcome.merged.put(
                merge_cells(*in_base, *in_mine, *in_theirs, outcome.conflicts));
        else if (!is_same_row(in_theirs, in_base))
            outcome.conflicts.push_back({key, "row", row_text(in_base),
                                         row_text(in_mine),
                                         row_text(in_theirs)});
        else if (in_mine == nullptr)
            outcome.merged.remove(key);
        else
            outcome.merged.put(*in_mine);
    }
    return outcome;
}

} // namespace tillerhall
