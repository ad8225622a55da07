#include "tillerhall/table/delta.hpp"
#include "tillerhall/table/column.hpp"
#include "tillerhall/table/csv.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/value_from.hpp>
#include <set>

namespace tillerhall
{
namespace
{

constexpr std::string_view add_mark = "+";
constexpr std::string_view remove_mark = "-";
constexpr std::size_t after_index = 3;
constexpr std::size_t before_index = 4; // in the history only

void diff_row(const row& from, const row& to, table_delta& into)
{
    for (const auto& each : columns())
    {
        if (from.*each.field == to.*each.field)
            continue;
        into.push_back({change_kind::set_cell, to.key, std::string(each.name),
                        cell_text(from, each), cell_text(to, each)});
    }
}

error does_not_fit(const table_change& change, const std::string& why)
{
    return error(error_code::corrupt, "change of " + change.key.service +
                                          " at " + change.key.place +
                                          " does not fit: " + why);
}

result<void> apply_one(config_table& table, const table_change& change)
{
    if (change.kind == change_kind::remove_row)
    {
        if (!table.remove(change.key))
            return does_not_fit(change, "no such row");
        return {};
    }
    if (change.kind == change_kind::add_row)
    {
        auto added = read_csv_row(change.after);
        if (!added)
            return added.reason();
        table.put(std::move(*added));
        return {};
    }
    const auto* found = table.find(change.key);
    if (found == nullptr)
        return does_not_fit(change, "no such row");
    const auto spec = find_column(change.column);
    if (!spec)
        return spec.reason();
    row changed = *found;
    if (auto set = set_cell(changed, **spec, change.after); !set)
        return set.reason();
    table.put(std::move(changed));
    return {};
}

std::string text_at(const boost::json::array& cells, std::size_t at)
{
    return std::string(cells.at(at).as_string());
}

table_change change_from_json(const boost::json::array& cells)
{
    table_change change;
    change.key = {text_at(cells, 0), text_at(cells, 1)};
    const auto mark = text_at(cells, 2);
    if (mark == remove_mark)
        change.kind = change_kind::remove_row;
    else if (mark == add_mark)
        change.kind = change_kind::add_row;
    else
        change.column = mark;
    if (change.kind != change_kind::remove_row)
        change.after = text_at(cells, after_index);
    if (cells.size() > before_index)
        change.before = text_at(cells, before_index);
    return change;
}

boost::json::value change_to_json(const table_change& change)
{
    boost::json::array cells{change.key.service, change.key.place};
    if (change.kind == change_kind::remove_row)
    {
        cells.emplace_back(remove_mark);
        return cells;
    }
    cells.emplace_back(change.kind == change_kind::add_row
                           ? add_mark
                           : std::string_view(change.column));
    cells.emplace_back(change.after);
    return cells;
}

} // namespace

table_delta diff(const config_table& from, const config_table& to)
{
    table_delta changes;
    for (const auto& old_row : from.rows())
        if (to.find(old_row.key) == nullptr)
            changes.push_back({change_kind::remove_row, old_row.key, "",
                               write_csv_row(old_row), ""});
    for (const auto& new_row : to.rows())
    {
        const auto* old_row = from.find(new_row.key);
        if (old_row == nullptr)
            changes.push_back({change_kind::add_row, new_row.key, "", "",
                               write_csv_row(new_row)});
        else
            diff_row(*old_row, new_row, changes);
    }
    return changes;
}

result<config_table> apply(config_table from, const table_delta& changes)
{
    for (const auto& change : changes)
        if (auto applied = apply_one(from, change); !applied)
            return applied.reason();
    return from;
}

boost::json::value to_json(const table_delta& changes)
{
    boost::json::array list;
    std::ranges::transform(changes, std::back_inserter(list), change_to_json);
    return list;
}

result<table_delta> delta_from_json(const boost::json::value& value)
{
    try
    {
        table_delta changes;
        for (const auto& each : value.as_array())
            changes.push_back(change_from_json(each.as_array()));
        return changes;
    }
    catch (const std::exception& failed)
    {
        return error(error_code::protocol_error,
                     std::string("not a delta: ") + failed.what());
    }
}

boost::json::value to_history_json(const table_delta& changes)
{
    auto list = to_json(changes).as_array();
    for (std::size_t i = 0; i < changes.size(); ++i)
    {
        auto& cells = list[i].as_array();
        if (changes[i].kind == change_kind::remove_row)
            cells.emplace_back("");
        cells.emplace_back(changes[i].before);
    }
    return list;
}

std::vector<std::string> describe(const table_delta& changes)
{
    std::vector<std::string> lines;
    for (const auto& each : changes)
    {
        const auto at = each.key.service + " " + each.key.place;
        if (each.kind == change_kind::add_row)
            lines.push_back(at + " added: " + each.after);
        else if (each.kind == change_kind::remove_row)
            lines.push_back(at + " removed: " + each.before);
        else
            lines.push_back(at + " " + each.column + ": " + each.before +
                            " -> " + each.after);
    }
    return lines;
}

} // namespace tillerhall
