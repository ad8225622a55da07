/** @file The configuration table: rows in canonical order. */
#pragma once

#include "tillerhall/table/row.hpp"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace tillerhall
{

/** Rows with distinct keys, sorted by key. */
class config_table
{
public:
    config_table() = default;

    /** Sorts @p rows; of several rows with one key, keeps the first. */
    explicit config_table(std::vector<row> rows);

    std::span<const row> rows() const noexcept { return m_rows; }

    /** @return the row under @p key, valid until the table changes, or null. */
    const row* find(const row_key& key) const noexcept;

    /** @return the rows of @p service, sorted by place. */
    std::span<const row> rows_of(std::string_view service) const noexcept;

    /** Inserts @p added, or replaces the row with the same key. */
    void put(row added);

    /** Removes the row under @p key. @return false if there is none. */
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
