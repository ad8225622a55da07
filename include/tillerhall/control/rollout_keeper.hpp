/** @file Reads orders of roll-outs from the store and keeps their states. */
#pragma once

#include "tillerhall/control/rollout_book.hpp"
#include "tillerhall/control/rollout_source.hpp"

#include <map>
#include <set>
#include <string>

namespace tillerhall
{

/**
 * The store's side of roll-outs. Any node may write a state; the condition on
 * the row's revision settles between several, so nobody leads. "Completed" is
 * true only once it is written; "rolled back" is true at once, and written as
 * soon as the store takes it. Runs on the first worker.
 */
class rollout_keeper
{
public:
    /** @param reads_for_others whether this node writes what it only heard of
     */
    rollout_keeper(mesh_state& mesh,
                   rollout_book& book,
                   row_store& store,
                   rollout_source source,
                   std::function<bool()> reads_for_others);

    void start();

    /** Takes rows of the table that holds the orders. */
    void rows_seen(const std::vector<stored_row>& rows);

    /** This node found the state of @p service 's roll-out: it writes it. */
    void mark_decided_here(const std::string& service)
    {
        m_decided_here.insert(service);
    }

    /**
     * Writes an order into the store, in place of the one that is there.
     * @return the revision of the order, or why it was not taken.
     */
    result<std::uint64_t> store_order(const rollout_order& order);

    /**
     * Writes that @p record is completed. @return whether it is, by this or an
     * earlier write; if so it is known to all nodes soon.
     */
    bool complete(const rollout_record& record);

private:
    void sync_loop();
    /** Reads the state of an order that was seen here; who decided or reads for
     * others writes until the row says what the record says. */
    void sync(const std::string& service);
    /** Every node sees the order when all start at once: after a loss of all,
     * with the store away again, 120 nodes that tried to write would make some
     * 400 calls a second. */
    bool may_write(const std::string& service) const;
    bool read_state(const std::string& service);
    void apply_state(const rollout_record& known, const stored_verdict& read);
    bool write(const rollout_record& record, rollout_state state);
    void apply_order(const rollout_order& order);
    /** Takes what the store said; who may write tells all nodes of it. When all
     * start at once, each would tell all others the same. */
    void merge_stored(const rollout_record& read);

    mesh_state& m_mesh;
    rollout_book& m_book;
    row_store& m_store;
    rollout_source m_source;
    std::function<bool()> m_reads_for_others;
    std::map<std::string, std::uint64_t> m_orders;  ///< revisions seen here
    std::map<std::string, stored_verdict> m_stored; ///< as last read or written
    std::set<std::string> m_decided_here;           ///< services
    std::set<std::string> m_refused; ///< keys of orders that were refused
};

} // namespace tillerhall
