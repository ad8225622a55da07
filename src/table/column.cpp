#include "tillerhall/table/column.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace tillerhall
{
namespace
{

constexpr std::int64_t hour_ms = 3'600'000;

constexpr std::array column_table{
    column{"weight", cell_kind::number, &row::weight, 0, 10'000, "share",
           "share of the service's calls that go to this place"},
    column{"max_in_flight", cell_kind::number, &row::max_in_flight, 1, 10'000,
           "calls", "calls one target runs at once"},
    column{"queue", cell_kind::number, &row::queue, 0, 100'000, "calls",
           "calls that may wait for one target"},
    column{"queue_wait_ms", cell_kind::number, &row::queue_wait_ms, 0, 60'000,
           "ms", "longest wait in the queue"},
    column{"rate_per_s", cell_kind::number, &row::rate_per_s, 0, 1'000'000,
           "calls/s", "calls a second one target takes; 0 is no limit"},
    column{"timeout_ms", cell_kind::number, &row::timeout_ms, 1, hour_ms, "ms",
           "longest time for one call"},
    column{"retry_percent", cell_kind::number, &row::retry_percent, 0, 100, "%",
           "retries allowed per hundred calls"},
    column{"repeatable", cell_kind::yes_no, &row::repeatable, 0, 1, "yes/no",
           "whether any method of the service may be repeated"},
};

error bad_cell(const column& spec, std::string_view text, error_code code)
{
    std::string remedy = "write a whole number from " +
                         std::to_string(spec.min_value) + " to " +
                         std::to_string(spec.max_value);
    if (spec.kind == cell_kind::yes_no)
        remedy = "write yes or no";
    return error(code,
                 std::string(spec.name) + " \"" + std::string(text) +
                     "\" does not fit",
                 remedy);
}

result<void> set_yes_no(row& edited, const column& spec, std::string_view text)
{
    // Spreadsheets rewrite yes and no as booleans or in capitals.
    constexpr std::array<std::string_view, 5> yes{"yes", "true", "TRUE", "YES",
                                                  "1"};
    constexpr std::array<std::string_view, 5> no{"no", "false", "FALSE", "NO",
                                                 "0"};
    if (std::ranges::find(yes, text) != yes.end())
        edited.*spec.field = 1;
    else if (std::ranges::find(no, text) != no.end())
        edited.*spec.field = 0;
    else
        return bad_cell(spec, text, error_code::bad_syntax);
    return {};
}

} // namespace

std::span<const column> columns() noexcept
{
    return column_table;
}

result<const column*> find_column(std::string_view name)
{
    const auto found = std::ranges::find(column_table, name, &column::name);
    if (found != column_table.end())
        return &*found;
    std::string known = "columns are service, place";
    for (const auto& each : column_table)
        known += ", " + std::string(each.name);
    return error(error_code::unknown_name,
                 "unknown column \"" + std::string(name) + "\"", known);
}

std::string cell_text(const row& source, const column& spec)
{
    const auto value = source.*spec.field;
    if (spec.kind == cell_kind::yes_no)
        return value != 0 ? "yes" : "no";
    return std::to_string(value);
}

result<void> set_cell(row& edited, const column& spec, std::string_view text)
{
    if (spec.kind == cell_kind::yes_no)
        return set_yes_no(edited, spec, text);
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec == std::errc::result_out_of_range)
        return bad_cell(spec, text, error_code::out_of_range);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return bad_cell(spec, text, error_code::bad_syntax);
    if (value < spec.min_value || value > spec.max_value)
        return bad_cell(spec, text, error_code::out_of_range);
    edited.*spec.field = value;
    return {};
}

} // namespace tillerhall
