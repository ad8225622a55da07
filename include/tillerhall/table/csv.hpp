/** @file The CSV form of the table, for spreadsheets. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/table/config_table.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** An edited table and the version that it is based on. */
struct draft
{
    config_table table;
    std::optional<std::uint64_t> base; ///< from the first line, if present
};

/** A parsed draft; valid only if there are no problems. */
struct csv_outcome
{
    draft parsed;
    std::vector<error> problems;
};

/**
 * Reads CSV (RFC 4180) and the variants that spreadsheets write: a byte order
 * mark, CRLF, semicolons or tabs instead of commas, columns in any order,
 * missing columns (defaults apply) and empty lines.
 */
csv_outcome read_csv(std::string_view text);

/** @return the canonical form: sorted rows, all columns, commas, LF. */
std::string write_csv(const config_table& table);

/** @return the canonical form after a first line that names version @p base. */
std::string write_draft(const config_table& table, std::uint64_t base);

/** @return one row in canonical form, without a line break. */
std::string write_csv_row(const row& written);

/** Reads one row in canonical form. */
result<row> read_csv_row(std::string_view line);

} // namespace tillerhall
