/** @file Interface of a transactional row store with a change feed. Tables are
 * partitioned, and a transaction does not span parts. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tillerhall
{

/** The name of a row. */
struct row_name
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const row_name&) const = default;
};

/** A row, or the last state of a removed row. */
struct stored_row
{
    row_name name;
    std::string value;
    std::uint64_t revision = 0; ///< of its last write
    bool removed = false;       ///< only in the change feed
};

/** Rows of a consistent read, or changes from the feed. */
struct row_page
{
    std::vector<stored_row> rows;
    std::uint64_t revision = 0; ///< newest of the store at the read
    bool more = false;          ///< there are further rows
    std::size_t unreadable = 0; ///< rows that were left out
};

/** A compare-and-set write of one row. */
struct conditional_write
{
    row_name name;
    std::uint64_t expected = 0; ///< revision; 0: the row must not exist
    std::string value;
};

/** The result of a conditional write. */
struct write_outcome
{
    bool written = false;
    std::uint64_t revision = 0; ///< current revision of the row
};

/**
 * A row store. An answer counts as lost if it does not begin within
 * `answer_timeout`, besides the wait of `follow`, or pauses for longer; as long
 * as its bytes arrive, a large one may take longer as a whole. Errors:
 * `unavailable` (the operation had no effect), `outcome_unknown` (it may have
 * taken effect, or may still do so while its condition holds), `retry_later`
 * (over the rate limit of the store) and, from `follow`, `history_lost`.
 */
class row_store
{
public:
    /** Well above the latency of a slow store. */
    static constexpr milliseconds answer_timeout{1'000};

    /** Called for each part of an answer that arrives; may be null. */
    using part_callback = std::function<void()>;

    virtual ~row_store() = default;

    /** @return the rows of @p part of @p table with keys from @p from on. */
    virtual result<row_page> read(const std::string& table,
                                  const std::string& part,
                                  const std::string& from,
                                  const part_callback& on_part) = 0;

    result<row_page> read(const std::string& table,
                          const std::string& part,
                          const std::string& from)
    {
        return read(table, part, from, nullptr);
    }

    /** @return the changes of @p table after @p revision, waiting up to
     * @p wait for the first; `history_lost` if the feed no longer goes back to
     * @p revision. */
    virtual result<row_page> follow(const std::string& table,
                                    std::uint64_t revision,
                                    duration wait,
                                    const part_callback& on_part) = 0;

    result<row_page>
    follow(const std::string& table, std::uint64_t revision, duration wait)
    {
        return follow(table, revision, wait, nullptr);
    }

    virtual result<write_outcome> write(const conditional_write& request) = 0;

    /** Removes a row if its revision is @p expected.
     * @return whether it was removed. */
    virtual result<bool> remove(const row_name& name,
                                std::uint64_t expected) = 0;
};

} // namespace tillerhall
