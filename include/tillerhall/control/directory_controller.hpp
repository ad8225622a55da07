/** @file Publishes this node in the store and discovers the other members. */
#pragma once

#include "tillerhall/core/backoff.hpp"
#include "tillerhall/distribution/write_pace.hpp"
#include "tillerhall/node/membership_controller.hpp"
#include "tillerhall/store/row_store.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace tillerhall
{

/** Settings of the directory of members. */
struct directory_settings
{
    std::string table = "members"; ///< of the store
    /** Returns true while this node reads the store for its failure domain. */
    std::function<bool()> is_reader;
};

/**
 * Each node stores its member record as one row and reads all rows when it
 * starts. Later changes are exchanged between the nodes; only readers keep
 * following the rows. The row is written when a persistent field changes (such
 * as addresses and departed targets), not with each change of the target's
 * state. Each write is conditional on the previous revision, so a write that
 * the store applies late cannot undo a newer one. Runs on the first worker.
 */
class directory_controller
{
public:
    directory_controller(mesh_state& mesh,
                         membership_controller& membership,
                         row_store& store,
                         directory_settings config);

    /** @param loaded called once the members are known, from the rows or
     * from a peer */
    void start(std::function<void()> loaded);

    /** Returns true once the members are known. */
    bool is_loaded() const noexcept { return m_loaded; }

    /** Schedules a write if the row lacks a persistent field. */
    void own_record_changed();

    /** The same without delay, for a caller that waits for the write. */
    void write_now();

    /** Returns true if the row has all persistent fields of this node. */
    bool own_record_stored() const;

private:
    void load_loop();
    bool load_rows();
    bool ask_peers();
    bool should_follow() const;
    void merge_own_row(const stored_row& row, const member& record);
    void follow_loop();
    void write_loop();
    bool write_once();
    /** Waits up to @p span; `write_now` cuts the wait short. */
    void wait_before_write(duration span);
    /** Returns the delay before the next attempt after @p failed. */
    duration retry_wait(const error& failed);
    /**
     * Reads the changes since the rows were loaded, after the first write of
     * the own row. Of two nodes that start together the later writer thus finds
     * the other and announces itself to it.
     */
    void reread_until_done();
    bool read_changes();
    void merge_rows(const std::vector<stored_row>& rows);
    void set_loaded(const char* from);
    row_name own_row() const;

    mesh_state& m_mesh;
    membership_controller& m_membership;
    row_store& m_store;
    directory_settings m_config;
    backoff m_waits;
    backoff m_write_waits;
    write_pace m_pace;
    boost::asio::steady_timer m_write_wait;
    std::function<void()> m_on_loaded;
    std::uint64_t m_revision = 0;     ///< of the store, read up to here
    std::uint64_t m_own_revision = 0; ///< of the own row
    std::optional<member> m_stored;   ///< content of the own row
    bool m_loaded = false;
    bool m_rows_read = false;
    bool m_writing = false;
    bool m_is_urgent = false; ///< a caller waits for the write
    bool m_has_written = false;
};

} // namespace tillerhall
