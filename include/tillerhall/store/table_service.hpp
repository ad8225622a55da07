/** @file The platform's transactional table service, as the library uses it. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/** One item: a key, its value and the revision of its last write (1 and up). */
struct table_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/** Holds when the item has this revision; 0 means that it must not exist. */
struct table_condition
{
    std::string key;
    std::uint64_t revision = 0;
};

/** Writes that take effect together if all conditions hold, or not at all. */
struct table_transaction
{
    std::vector<table_condition> conditions;
    std::vector<table_item> writes; ///< revisions are ignored
};

/** How a transaction ended. */
struct commit_outcome
{
    bool committed = false;
    std::uint64_t revision = 0; ///< of every item it wrote
};

/** The table service. Every failure is `unavailable` or `outcome_unknown`. */
class table_service
{
public:
    virtual ~table_service() = default;

    /** @return the item, or an empty optional if there is none. */
    virtual result<std::optional<table_item>> get(const std::string& key) = 0;

    /** @return up to @p limit items with @p prefix, greatest key first. */
    virtual result<std::vector<table_item>> list_last(const std::string& prefix,
                                                      std::size_t limit) = 0;

    /**
     * @return whether its conditions held; `unavailable` means that it did
     * nothing, `outcome_unknown` that it may have been committed.
     */
    virtual result<commit_outcome>
    transact(const table_transaction& transaction) = 0;
};

} // namespace tillerhall
