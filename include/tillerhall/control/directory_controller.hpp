/** @file The members' rows in the store: how nodes find each other. */
#pragma once

#include "tillerhall/core/backoff.hpp"
#include "tillerhall/node/membership_controller.hpp"
#include "tillerhall/store/row_store.hpp"

#include <functional>
#include <map>

namespace tillerhall
{

/** Where members keep their rows. */
struct directory_settings
{
    std::string table = "members";
    std::size_t parts = 1; ///< so many that a start of all fits their rates
};

/**
 * Each node writes one row, its own record, and reads those of the others;
 * between nodes heartbeats do the rest. The row also keeps which starts of
 * the node's target have left, for the node's own next boot. Each write is
 * conditional on the revision before it, so one that the store does late
 * cannot undo a newer one. Runs on the first worker.
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

    /** Writes this node's record soon. */
    void own_record_changed();

    /** @return whether the store holds this node's record as it stands. */
    bool own_record_stored() const
    {
        return m_written == m_mesh.members.self().incarnation;
    }

private:
    void load_loop();
    bool load_rows();
    bool load_part(const std::string& part, std::uint64_t& oldest);
    bool ask_peers();
    void follow_loop();
    void write_loop();
    bool write_once();
    void take(const std::vector<stored_row>& rows);
    void set_loaded(const char* from);
    std::string part_of(const address& node) const;
    row_name own_row() const;

    mesh_state& m_mesh;
    membership_controller& m_membership;
    row_store& m_store;
    directory_settings m_config;
    backoff m_waits;
    std::function<void()> m_on_loaded;
    std::uint64_t m_revision = 0;     ///< of the store, up to which it was read
    std::uint64_t m_own_revision = 0; ///< of this node's row
    std::uint64_t m_written = 0;      ///< incarnation that the row holds
    bool m_loaded = false;
    bool m_rows_read = false;
    bool m_writing = false;
};

} // namespace tillerhall
