/** @file The whole table: rows in canonical order. */
#pragma once

#include "tillerhall/table/row.hpp"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace tillerhall
{

/** A set of rows with distinct keys, kept in the order of their keys. */
class config_table
{
public:
    config_table() = default;

    /** Takes @p rows in any order; of equal keys the first stays. */
    explicit config_table(std::vector<row> rows);

    std::span<const row> rows() const noexcept { return m_rows; }

    /** @return the row under @p key, valid until the table changes, or null. */
    const row* find(const row_key& key) const noexcept;

    /** @return the rows of @p service, in order of place. */
    std::span<const row> rows_of(std::string_view service) const noexcept;

    /** Adds @p added or replaces the row with its key. */
    void put(row added);

    /** @return whether there was such a row to remove. */
    bool remove(const row_key& key);

    /** @return the names of all services with a row. */
    std::set<std::string> services() const;

    /** @return the digest of the canonical CSV form. */
    std::string digest() const;

    bool operator==(const config_table&) const = default;

private:
    std::vector<row> m_rows;
};

} // namespace tillerhall
