/** @file The columns of the table: names, types, ranges and their fields. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/table/row.hpp"

#include <span>
#include <string>
#include <string_view>

namespace tillerhall
{

/** How a cell is written. */
enum class cell_kind
{
    number,
    yes_no
};

/** One editable column. */
struct column
{
    std::string_view name;
    cell_kind kind;
    std::int64_t row::*field;
    std::int64_t least;
    std::int64_t most;
    std::string_view unit;
    std::string_view help;
};

/** @return every editable column, in the order of the CSV form. */
std::span<const column> columns() noexcept;

/** @return the column called @p name, or unknown_name listing all. */
result<const column*> find_column(std::string_view name);

/** @return the text of @p in 's cell under @p of. */
std::string cell_text(const row& in, const column& of);

/** Parses @p text into the cell; the refusal names value, range and remedy. */
result<void> set_cell(row& in, const column& of, std::string_view text);

} // namespace tillerhall
