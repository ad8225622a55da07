/** @file Differences between two tables, by cell. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/table/config_table.hpp"

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace tillerhall
{

/** The kind of a `table_change`. */
enum class change_kind
{
    set_cell,
    add_row,
    remove_row
};

/** A changed cell, or a row that was added or removed. */
struct table_change
{
    change_kind kind = change_kind::set_cell;
    row_key key;
    std::string column; ///< of a changed cell
    std::string before; ///< cell text or CSV row; not sent to nodes
    std::string after;  ///< cell text or CSV row
};

using table_delta = std::vector<table_change>;

/** @return the changes that turn @p from into @p to. */
table_delta diff(const config_table& from, const config_table& to);

/** Applies @p changes to @p from; an error if one does not fit its rows. */
result<config_table> apply(config_table from, const table_delta& changes);

/** @return the compact JSON form: an array of arrays. */
boost::json::value to_json(const table_delta& changes);

/** @return the compact form with the previous texts. */
boost::json::value to_history_json(const table_delta& changes);

/** Reads either JSON form. */
result<table_delta> delta_from_json(const boost::json::value& value);

/** @return one readable line per change, such as "oogstbeurs polder-a weight:
 * 100 -> 80". */
std::vector<std::string> describe(const table_delta& changes);

} // namespace tillerhall
