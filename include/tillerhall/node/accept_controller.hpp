/** @file Accepts revised tables: the only writer of versions. */
#pragma once

#include "tillerhall/node/distribution_controller.hpp"
#include "tillerhall/store/table_store.hpp"
#include "tillerhall/table/check.hpp"
#include "tillerhall/table/merge.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/** A table that an operator wants in force. */
struct accept_request
{
    config_table table;
    std::uint64_t base = 0; ///< the version it was edited from
    std::string
        accept_id; ///< names this accept; the same id never counts twice
    std::string author;
    bool rebase = false; ///< take newer versions' edits of other cells in
};

/** How an accept ended. */
struct accept_outcome
{
    std::uint64_t version = 0;
    std::string digest;
    bool unchanged = false; ///< the head holds just this table already
    bool repeated = false;  ///< this accept id had already become `version`
    table_delta changes;

    /** Set when nothing was accepted. */
    std::optional<error> refused;
    std::vector<error> problems;           ///< of the table
    std::vector<merge_conflict> conflicts; ///< with a newer version
    std::uint64_t head = 0;                ///< the newer version
    std::string rebased_draft; ///< CSV that would fit, when cells are disjoint
};

/**
 * Runs an accept as one compare-and-write at the head. No lease grants the
 * right to write: whoever was paused, or raced, fails the compare.
 */
class accept_controller
{
public:
    accept_controller(mesh_state& mesh,
                      distribution_controller& tables,
                      table_store& store)
        : m_mesh(mesh)
        , m_tables(tables)
        , m_store(store)
    {
    }

    /** Accepts or refuses; on success the version is on its way to all. */
    accept_outcome accept(accept_request request);

    /** @return every problem of @p table, without accepting it. */
    std::vector<error> check(const config_table& table) const;

    table_store& store() noexcept { return m_store; }

private:
    /** @return nothing when the head moved and the accept must start anew. */
    std::optional<accept_outcome> attempt(const accept_request& request);
    std::optional<accept_outcome> settle(const accept_request& request,
                                         const table_head& head,
                                         const config_table& parent,
                                         const config_table& table);
    accept_outcome conflict(const accept_request& request,
                            const table_head& head,
                            const merge_outcome& merged);
    result<config_table> read_base(std::uint64_t version);
    result<config_table> read_head_table(const table_head& head);

    mesh_state& m_mesh;
    distribution_controller& m_tables;
    table_store& m_store;
};

} // namespace tillerhall
