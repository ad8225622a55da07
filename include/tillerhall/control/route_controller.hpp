/** @file Keeps the routes in force: from the store's feed, else from peers. */
#pragma once

#include "tillerhall/core/backoff.hpp"
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
 * Follows the row that holds the routes. A version is taken whole or not at
 * all, and only if its number is higher than that in force, whoever brings
 * it. A node that hears of a higher version from a peer, and does not see it
 * in the store by then, asks the peer. Runs on the first worker.
 */
class route_controller
{
public:
    route_controller(mesh_state& mesh, row_store& store, route_source source);

    void add_methods();
    void start();

    /** A peer told that it is at @p version. */
    void heard_of(std::uint64_t version, const address& peer);

    /** Asks @p peer for its routes. @return whether it answered. */
    bool pull(const address& peer);

    bool known() const { return m_mesh.board.call_map.get()->version() != 0; }

private:
    boost::json::object on_routes(const boost::json::object& params);
    void follow_loop();
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

    outcome read_row();
    outcome follow_once();
    outcome take_last(const row_page& page);
    void take(const std::string& value, const char* from);
    void note_store(const error* failed);

    mesh_state& m_mesh;
    row_store& m_store;
    route_source m_source;
    backoff m_waits;
    std::string m_value;          ///< of the version in force, for peers
    std::uint64_t m_revision = 0; ///< of the store, up to which it was read
    std::uint64_t m_taken_revision = 0; ///< of the row that was taken last
    bool m_store_lost = false;
    bool m_pulling = false;
};

} // namespace tillerhall
