/** @file The members' rows in the store: how nodes find each other. */
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

/** Where members keep their rows, and who follows them. */
struct directory_settings
{
    std::string table = "members";
    /** @return whether this node reads the store for its failure domain. */
    std::function<bool()> is_reader;
};

/**
 * Each node has one row, its own record, and reads those of the others at its
 * start; from then on nodes tell each other, and only readers follow the
 * rows. What must last is where the node is found and which starts of its
 * target have left, so the row is written when one of these changes, not with
 * each change of the target's state. Each write is conditional on the
 * revision before it, so one that the store does late cannot undo a newer
 * one. Runs on the first worker.
 */
class directory_controller
{
public:
    directory_controller(mesh_state& mesh,
                         membership_controller& membership,
                         row_store& store,
                         directory_settings config);

    /** @param loaded called when the rows were first read, or a peer has
     * told of the members instead */
    void start(std::function<void()> loaded);

    /** @return whether the members are known from the store or from a peer. */
    bool is_loaded() const noexcept { return m_loaded; }

    /** Writes this node's record soon, if the row lacks what must last. */
    void own_record_changed();

    /** The same at once: someone waits for what must last. */
    void write_now();

    /** @return whether the row holds all of this node that must last. */
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
    /** Waits for the next try, or until someone cannot wait. */
    void wait_before_write(duration span);
    /** @return how long to wait after a write that failed as @p failed says. */
    duration retry_wait(const error& failed);
    /**
     * Reads what has changed behind the first write of the own row: of any two
     * nodes that start at once the one that wrote later then knows the other,
     * and tells it.
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
    std::uint64_t m_revision = 0;     ///< of the store, up to which it was read
    std::uint64_t m_own_revision = 0; ///< of this node's row
    std::optional<member> m_stored;   ///< what this node's row holds
    bool m_loaded = false;
    bool m_rows_read = false;
    bool m_writing = false;
    bool m_is_urgent = false; ///< someone waits for the row
    bool m_has_written = false;
};

} // namespace tillerhall
