/** @file Reads roll-out orders from the store and writes their states. */
#pragma once

#include "tillerhall/control/rollout_registry.hpp"
#include "tillerhall/control/rollout_source.hpp"

#include <map>
#include <set>
#include <string>

namespace tillerhall
{

/**
 * Synchronizes roll-outs with the store. Any node may write a state; a write is
 * conditional on the row's revision, so no leader is needed. A roll-out is
 * completed only once that is written; a rollback takes effect at once and is
 * written as soon as the store accepts it. Runs on the first worker.
 */
class rollout_store_sync
{
public:
    /** @param reads_for_others returns true if this node also writes states
     * that other nodes decided */
    rollout_store_sync(mesh_state& mesh,
                       rollout_registry& registry,
                       row_store& store,
                       rollout_source source,
                       std::function<bool()> reads_for_others);

    void start();

    /** Applies rows of the table that holds the orders. */
    void apply_rows(const std::vector<stored_row>& rows);

    /** Makes this node write the state of @p service 's roll-out. */
    void mark_decided_here(const std::string& service)
    {
        m_decided_here.insert(service);
    }

    /**
     * Writes an order into the store, replacing the present one.
     * @return the revision of the order, or why it was not accepted.
     */
    result<std::uint64_t> store_order(const rollout_order& order);

    /**
     * Writes that @p record is completed and broadcasts it.
     * @return true if it is completed, by this or an earlier write.
     */
    bool complete(const rollout_record& record);

private:
    void sync_loop();
    /** Reads the stored state of an order if it is not known, and writes the
     * record's state if this node may and the row differs. */
    void sync(const std::string& service);
    /** Returns true if this node decided or reads for others. When all nodes
     * start at once all see the order; writes by each would overload the store.
     */
    bool may_write(const std::string& service) const;
    bool read_state(const std::string& service);
    void apply_state(const rollout_record& known,
                     const stored_rollout_state& read);
    bool write(const rollout_record& record, rollout_state state);
    void apply_order(const rollout_order& order);
    /** Merges a record read from the store. Only nodes that may write broadcast
     * it, since all nodes may read it at the same time. */
    void merge_stored(const rollout_record& read);

    mesh_state& m_mesh;
    rollout_registry& m_registry;
    row_store& m_store;
    rollout_source m_source;
    std::function<bool()> m_reads_for_others;
    std::map<std::string, std::uint64_t>
        m_orders; ///< revisions seen, by service
    std::map<std::string, stored_rollout_state>
        m_stored; ///< last read or written
    std::set<std::string>
        m_decided_here;              ///< services whose state this node decided
    std::set<std::string> m_refused; ///< key and value of refused orders
};

} // namespace tillerhall
