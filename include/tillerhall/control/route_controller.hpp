/** @file Obtains the routes from a reader, the store or a peer. */
#pragma once

#include "tillerhall/control/routes_update.hpp"
#include "tillerhall/core/backoff.hpp"
#include "tillerhall/distribution/confirmed_copy.hpp"
#include "tillerhall/distribution/store_role.hpp"
#include "tillerhall/distribution/transit_time.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/store/row_store.hpp"

#include <functional>

namespace tillerhall
{

/** The row that holds the operators' configuration, and its decoder. */
struct route_source
{
    row_name row;
    /** Returns the routes, or why the version is refused as a whole. */
    std::function<result<call_routes_ptr>(const std::string& value)> decode;
};

/**
 * Follows the row that holds the routes. A version is applied completely or not
 * at all, and only if its number is higher than that in force, whatever its
 * source.
 *
 * A few readers in each failure domain ask the store (see `store_role_choice`).
 * After each answer a reader sends a routes update along a tree over its
 * domain's members, with the routes if they are new. A node that learns of a
 * higher version by an update or a heartbeat, but does not receive its routes,
 * pulls them from the sender. Runs on the first worker.
 */
class route_controller
{
public:
    route_controller(mesh_state& mesh, row_store& store, route_source source);

    void add_methods();
    void start();

    /** Sets the action for each answer of the store; @p is_whole is true if it
     * holds all rows of the table, not only changes. */
    void on_rows(std::function<void(const row_page&, bool is_whole)> action)
    {
        m_on_rows = std::move(action);
    }

    /** Sets the action for the drained domains of a routes update, with the
     * store's revision that they were read at. */
    void on_drained(
        std::function<void(const std::set<std::string>&, std::uint64_t)> action)
    {
        m_on_drained = std::move(action);
    }

    bool known() const { return m_mesh.board.call_map.get()->version() != 0; }

    /** Returns the present role of this node. */
    store_role role() const;

private:
    enum class step
    {
        read,
        follow
    };
    enum class outcome
    {
        failed,
        unchanged,
        changed
    };

    boost::json::object on_routes(const boost::json::object& params);
    boost::json::object on_update(const boost::json::object& params);
    /** @param grace time to wait for a routes update before pulling */
    void on_newer_version(std::uint64_t version,
                          const address& peer,
                          duration grace);
    bool pull(const address& peer);

    void follow_loop();
    step listen();
    step ask_store(step how);
    outcome read_row();
    outcome follow_once();
    outcome apply_last(const row_page& page, bool is_whole);
    /** @param earliest time at which the store can have answered
     * @param latest such time */
    void
    note_answer(std::uint64_t revision, time_point earliest, time_point latest);
    void apply(const std::string& value, const char* from);
    void apply_packed(const std::string& packed, const char* from);
    /** Notes that the routes in force were the newest at @p at. */
    void confirm(time_point at, const std::string& source);
    /** Shows the age of the routes, and logs when they may be stale. */
    void watch_age();
    void note_store(const error* failed);
    void note_role(store_role now);

    /** Sends a routes update to this domain if this node announces. */
    void announce();
    routes_update make_update() const;
    /** Tells the domain that an answer of the store is being received, if this
     * takes long. Called for each part of it. */
    void announce_receiving();
    /** @param received when this node got the update */
    void forward(const routes_update& update, time_point received);
    /** @return the latest time at which the store can have answered what
     * @p update tells. */
    time_point answered_at(const routes_update& update, time_point received);

    mesh_state& m_mesh;
    row_store& m_store;
    route_source m_source;
    std::function<void(const row_page&, bool)> m_on_rows;
    std::function<void(const std::set<std::string>&, std::uint64_t)>
        m_on_drained;
    backoff m_waits;
    store_role_choice m_role;
    time_point m_started{};
    store_role m_last_role = store_role::poll;
    time_point m_next_notice{};            ///< of an answer being received
    time_point m_applied{};                ///< time of the last new version
    std::string m_packed;                  ///< routes in force, for peers
    std::uint64_t m_revision = 0;          ///< of the store, read up to here
    std::uint64_t m_applied_revision = 0;  ///< of the row applied last
    std::uint64_t m_announced_version = 0; ///< last sent with its routes
    time_point m_answered{};               ///< by the store, at the latest
    duration m_answer_span{};              ///< from the earliest time to that
    transit_time m_transit;                ///< of the readers' updates
    confirmed_copy m_confirmed;            ///< of the routes in force
    bool m_has_received_update = false;    ///< from a reader
    bool m_store_lost = false;
    bool m_may_be_stale = false; ///< the routes in force, as last logged
    bool m_pulling = false;
};

} // namespace tillerhall
