/** @file Three-way merge of racing edits, cell by cell. */
#pragma once

#include "tillerhall/table/config_table.hpp"

#include <string>
#include <vector>

namespace tillerhall
{

/** A cell, or a whole row, that both sides changed in different ways. */
struct merge_conflict
{
    row_key key;
    std::string column; ///< "row" when a whole row is in question
    std::string base;
    std::string mine;
    std::string theirs;
};

/** The merged table; where there are conflicts it holds their side. */
struct merge_outcome
{
    config_table merged;
    std::vector<merge_conflict> conflicts;
};

/**
 * Brings the edits that lead from @p base to @p mine into @p theirs.
 * Edits of different cells are both kept; the same cell changed to different
 * values is a conflict, never settled silently.
 */
merge_outcome merge(const config_table& base,
                    const config_table& mine,
                    const config_table& theirs);

} // namespace tillerhall
