/** @file The columns of the table: name, type, range and field of each. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/table/row.hpp"

#include <span>
#include <string>
#include <string_view>

namespace tillerhall
{

/** The type of a cell's text. */
enum class cell_kind
{
    number,
    yes_no
};

/** An editable column; `min_value` and `max_value` are inclusive. */
struct column
{
    std::string_view name;
    cell_kind kind;
    std::int64_t row::*field;
    std::int64_t min_value;
    std::int64_t max_value;
    std::string_view unit;
    std::string_view help;
};

/** @return every editable column, in the order of the CSV form. */
std::span<const column> columns() noexcept;

/** @return the column called @p name; else `unknown_name` with all names. */
result<const column*> find_column(std::string_view name);

/** @return the text of the cell of @p source in column @p spec. */
std::string cell_text(const row& source, const column& spec);

/** Parses @p text into the cell of @p edited in column @p spec; an error names
 * the value and the allowed range. */
result<void> set_cell(row& edited, const column& spec, std::string_view text);

} // namespace tillerhall
