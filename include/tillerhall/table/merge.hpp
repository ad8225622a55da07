/** @file Three-way merge of concurrent edits, by cell. */
#pragma once

#include "tillerhall/table/config_table.hpp"

#include <string>
#include <vector>

namespace tillerhall
{

/** A cell or row that both sides changed differently. */
struct merge_conflict
{
    row_key key;
    std::string column; ///< "row" if the conflict is about the row
    std::string base;
    std::string mine;
    std::string theirs;
};

/** The merged table, which has the value of `theirs` for each conflict. */
struct merge_outcome
{
    config_table merged;
    std::vector<merge_conflict> conflicts;
};

/**
 * Applies the differences between @p base and @p mine to @p theirs. A cell that
 * both sides changed to different values is reported as a conflict.
 */
merge_outcome merge(const config_table& base,
                    const config_table& mine,
                    const config_table& theirs);

} // namespace tillerhall
