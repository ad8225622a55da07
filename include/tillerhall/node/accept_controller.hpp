/** @file Accepts revised tables. The only writer of versions. */
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

/** Request of an operator to put a table in force. */
struct accept_request
{
    config_table table;
    std::uint64_t base = 0; ///< the version it was edited from
    std::string accept_id;  ///< idempotency key
    std::string author;
    bool rebase = false; ///< merge with edits of other cells in newer versions
};

/** Result of an accept. */
struct accept_outcome
{
    std::uint64_t version = 0;
    std::string digest;
    bool unchanged = false; ///< the head already is this table
    bool repeated = false; ///< this accept id was already accepted as `version`
    table_delta changes;

    /** Set when nothing was accepted. */
    std::optional<error> refused;
    std::vector<error> problems;           ///< of the table
    std::vector<merge_conflict> conflicts; ///< with a newer version
    std::uint64_t head = 0;                ///< the newer version
    std::string rebased_draft; ///< CSV on top of `head`, if edits are disjoint
};

/**
 * Commits an accept by one compare-and-swap at the head. There is no lease: a
 * writer that was paused or lost a race fails the comparison.
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

    /** Accepts or refuses; on success starts to distribute the version. */
    accept_outcome accept(accept_request request);

    /** @return all problems of @p table, without accepting it. */
    std::vector<error> check(const config_table& table) const;

    table_store& store() noexcept { return m_store; }

private:
    /** @return nullopt if the head has moved and the accept must be retried. */
    std::optional<accept_outcome> try_accept(const accept_request& request);
    std::optional<accept_outcome> commit(const accept_request& request,
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
