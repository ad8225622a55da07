/** @file The CSV form of the table, as spreadsheets read and write it. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/table/config_table.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** A table being edited and the version it was taken from. */
struct draft
{
    config_table table;
    std::optional<std::uint64_t> base; ///< from the first line, if written
};

/** A parsed draft, or every problem found with its line. */
struct csv_outcome
{
    draft parsed;
    std::vector<error> problems;
};

/**
 * Reads CSV (RFC 4180). Spreadsheets' variations are taken: a byte order
 * mark, CRLF, semicolons or tabs for commas, columns in any order, columns
 * left out (defaults apply), empty lines.
 */
csv_outcome read_csv(std::string_view text);

/** @return the canonical form: sorted rows, commas, LF, every column. */
std::string write_csv(const config_table& table);

/** @return the canonical form with a first line naming its version. */
std::string write_draft(const config_table& table, std::uint64_t base);

/** @return one row in canonical form, without a line end. */
std::string write_csv_row(const row& written);

/** Reads one row in canonical form. */
result<row> read_csv_row(std::string_view line);

} // namespace tillerhall
