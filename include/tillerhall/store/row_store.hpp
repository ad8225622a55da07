/** @file A transactional store of rows with a feed of changes, as the library
 * uses it: tables are cut into parts, and a transaction stays in one part. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tillerhall
{

/** Names one row. */
struct row_name
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const row_name&) const = default;
};

/** One row as it stands, or as it was when it was removed. */
struct stored_row
{
    row_name name;
    std::string value;
    std::uint64_t revision = 0; ///< of its last write
    bool removed = false;       ///< only in a feed
};

/** Rows of one moment. */
struct row_page
{
    std::vector<stored_row> rows;
    std::uint64_t revision = 0; ///< newest of the store at that moment
    bool more = false;          ///< further keys follow
};

/** A write of one row that holds only at one revision. */
struct conditional_write
{
    row_name name;
    std::uint64_t expected = 0; ///< 0: the row must not be there
    std::string value;
};

/** How a conditional write ended. */
struct write_outcome
{
    bool written = false;
    std::uint64_t revision = 0; ///< of the row as it now stands
};

/**
 * The store. Failures: `unavailable` (nothing was done), `outcome_unknown`
 * (it may have been done, or may yet be done while its condition holds),
 * `retry_later` (over its rate) and, from `follow`, `history_lost`.
 */
class row_store
{
public:
    virtual ~row_store() = default;

    /** @return rows of @p table and @p part with keys from @p from on. */
    virtual result<row_page> read(const std::string& table,
                                  const std::string& part,
                                  const std::string& from) = 0;

    /** @return rows of @p table that changed after @p revision, waiting up to
     * @p wait for the first; `history_lost` when they are not kept so long. */
    virtual result<row_page>
    follow(const std::string& table, std::uint64_t revision, duration wait) = 0;

    virtual result<write_outcome> write(const conditional_write& made) = 0;

    /** Removes a row if it stands at @p expected. @return whether it did. */
    virtual result<bool> remove(const row_name& name,
                                std::uint64_t expected) = 0;
};

} // namespace tillerhall
