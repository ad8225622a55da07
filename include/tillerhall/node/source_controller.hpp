/** @file Polls the source of tables. */
#pragma once

#include "tillerhall/core/token_bucket.hpp"
#include "tillerhall/distribution/circuit_breaker.hpp"
#include "tillerhall/node/membership_controller.hpp"
#include "tillerhall/store/host_list.hpp"
#include "tillerhall/store/table_store.hpp"

namespace tillerhall
{

/**
 * Joins the mesh, then reads the source at intervals if this node is a reader.
 * Delivers versions whose pushes were lost. Used on the first worker only.
 */
class source_controller
{
public:
    source_controller(mesh_state& mesh,
                      distribution_controller& tables,
                      membership_controller& membership,
                      table_store& store,
                      host_list& hosts);

    /** Joins the mesh through the seeds or the host list, then starts polling.
     */
    void start();

private:
    void join_loop();
    bool try_join();
    bool is_caught_up() const;
    void read_loop();
    bool should_read();
    bool is_recently_read();
    void read_source();
    void read_new_versions(const table_head& head);
    void read_table(const table_head& head);
    void read_hosts();
    bool may_read();
    void note_outcome(const error* failed);
    void deliver(const table_update& update);

    mesh_state& m_mesh;
    distribution_controller& m_tables;
    membership_controller& m_membership;
    table_store& m_store;
    host_list& m_hosts;
    circuit_breaker m_breaker;
    token_bucket m_rate_limiter;
    bool m_is_reader = false;
    bool m_source_is_empty = false;
    unsigned m_reads_since_hosts = 0;
};

} // namespace tillerhall
