/** @file Keeps the routes in force: from a reader, the store or a peer. */
#pragma once

#include "tillerhall/control/routes_word.hpp"
#include "tillerhall/core/backoff.hpp"
#include "tillerhall/distribution/store_role.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/store/row_store.hpp"

#include <functional>

namespace tillerhall
{

/** The row that holds the operators' configuration and how it is read. */
struct route_source
{
    row_name row;
    /** @return the routes, or why the whole version must be refused. */
    std::function<result<call_routes_ptr>(const std::string& value)> decode;
};

/**
 * Follows the row that holds the routes. A version is applied whole or not at
 * all, and only if its number is higher than that in force, whoever brings
 * it.
 *
 * A few readers a failure domain ask the store (see `store_role_choice`). After
 * each of its answers a reader sends a update through the tree over its
 * domain's members, with the routes if they are new. A node that hears of a
 * higher version, by update or by heartbeat, and does not get it asks the one
 * who told. Runs on the first worker.
 */
class route_controller
{
public:
    route_controller(mesh_state& mesh, row_store& store, route_source source);

    void add_methods();
    void start();

    /** Called with each answer of the store, whatever its rows hold, and
     * whether it holds all rows of the table or only changes. */
    void on_rows(std::function<void(const row_page&, bool is_whole)> action)
    {
        m_on_rows = std::move(action);
    }

    /** Called with the drained domains that a reader told, and the revision of
     * the store that they are of. */
    void on_drained(
        std::function<void(const std::set<std::string>&, std::uint64_t)> action)
    {
        m_on_drained = std::move(action);
    }

    bool known() const { return m_mesh.board.call_map.get()->version() != 0; }

    /** @return what this node does about the store now. */
    store_duty duty() const;

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
    /** @param grace for the version to come by itself */
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
    /** @param latest when the store can have note_answer at the latest */
    void note_answer(std::uint64_t revision, time_point latest);
    void apply(const std::string& value, const char* from);
    void apply_packed(const std::string& packed, const char* from);
    void note_store(const error* failed);
    void note_role(store_duty now);

    void speak();
    void forward(const routes_word& update);

    mesh_state& m_mesh;
    row_store& m_store;
    route_source m_source;
    std::function<void(const row_page&, bool)> m_on_rows;
    std::function<void(const std::set<std::string>&, std::uint64_t)>
        m_on_drained;
    backoff m_waits;
    store_role_choice m_role;
    time_point m_started{};
    store_duty m_last_role = store_duty::poll;
    std::string m_packed;         ///< routes in force, for peers
    std::uint64_t m_revision = 0; ///< of the store, up to which it was read
    std::uint64_t m_applied_revision = 0; ///< of the row that was applied last
    std::uint64_t m_announced_version =
        0;                              ///< sent to the domain with its routes
    time_point m_answered{};            ///< the store's last answer
    bool m_has_received_update = false; ///< a reader's update
    bool m_store_lost = false;
    bool m_pulling = false;
};

} // namespace tillerhall
