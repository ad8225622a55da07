/** @file Watches the target beside this node. */
#pragma once

#include "tillerhall/http/api_client.hpp"
#include "tillerhall/node/membership_controller.hpp"

namespace tillerhall
{

/** Checks the target's health and tells the mesh when it changes. */
class target_controller
{
public:
    target_controller(mesh_state& mesh, membership_controller& membership);

    /** Checks once before joining, so that the first record is true. */
    void check_first();

    /** Keeps checking. */
    void start();

    /** Tells every node of an end of the target, or that a call that was named
     * in one has run well. */
    void tell(const target_end& end);
    void tell(const good_run& run);

private:
    void check_loop();
    target_state check_once();

    mesh_state& m_mesh;
    membership_controller& m_membership;
    api_client m_client;
    unsigned m_failures_in_row = 0;
};

} // namespace tillerhall
