/** @file Gathers service-level burn from all nodes on request. */
#pragma once

#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/observe/burn_tracker.hpp"

#include <boost/json/object.hpp>

namespace tillerhall
{

struct key_range;

/** Answers with this node's burn, and gathers that of all. First worker. */
class burn_controller
{
public:
    explicit burn_controller(mesh_state& mesh)
        : m_mesh(mesh)
    {
    }

    void add_methods();

    /** @return the burn that all live nodes saw, as an operator is shown. */
    boost::json::object report();

private:
    burn_report gather(const key_range& range, std::size_t& unreachable);
    boost::json::object on_burn(const boost::json::object& params);
    boost::json::object describe(const burn_entry& entry) const;

    mesh_state& m_mesh;
};

} // namespace tillerhall
