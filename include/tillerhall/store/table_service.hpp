/** @file Interface of the platform's transactional table service. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/** A key, its value and the revision of its last write, from 1 on. */
struct table_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/** Requires that the item has this revision; 0: that it does not exist. */
struct table_condition
{
    std::string key;
    std::uint64_t revision = 0;
};

/** Writes that are committed atomically if all conditions hold. */
struct table_transaction
{
    std::vector<table_condition> conditions;
    std::vector<table_item> writes; ///< revisions are ignored
};

/** The result of a transaction. */
struct commit_outcome
{
    bool committed = false;
    std::uint64_t revision = 0; ///< of every item that it wrote
};

/** A table service. Errors are `unavailable` or `outcome_unknown`. */
class table_service
{
public:
    virtual ~table_service() = default;

    /** @return the item, or an empty optional if there is none. */
    virtual result<std::optional<table_item>> get(const std::string& key) = 0;

    /** @return up to @p limit items with @p prefix, in descending key order. */
    virtual result<std::vector<table_item>> list_last(const std::string& prefix,
                                                      std::size_t limit) = 0;

    /**
     * @return whether the transaction was committed; `unavailable` if it had no
     * effect, `outcome_unknown` if it may have been committed.
     */
    virtual result<commit_outcome>
    transact(const table_transaction& transaction) = 0;
};

} // namespace tillerhall
