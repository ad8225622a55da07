/** @file Collects error-budget burn rates from all nodes on request. */
#pragma once

#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/observe/burn_tracker.hpp"

#include <boost/json/object.hpp>

namespace tillerhall
{

struct key_range;

/** Reports this node's error-budget burn, and collects that of all nodes. Runs
 * on the first worker. */
class burn_controller
{
public:
    explicit burn_controller(mesh_state& mesh)
        : m_mesh(mesh)
    {
    }

    void add_methods();

    /** Returns the burn of all live nodes as JSON for operators. */
    boost::json::object report();

private:
    burn_report gather(const key_range& range, std::size_t& unreachable);
    boost::json::object on_burn(const boost::json::object& params);
    boost::json::object describe(const burn_entry& entry) const;

    mesh_state& m_mesh;
};

} // namespace tillerhall
