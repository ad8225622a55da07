/** @file Health checks of this node's target. */
#pragma once

#include "tillerhall/http/api_client.hpp"
#include "tillerhall/node/membership_controller.hpp"

namespace tillerhall
{

/** Checks the target's health and announces changes to the mesh. */
class target_controller
{
public:
    target_controller(mesh_state& mesh, membership_controller& membership);

    /** Checks once before joining, so that the first record is correct. */
    void check_first();

    /** Starts periodic checks. */
    void start();

    /** Announces a crash of the target, or a good run of a call that was listed
     * in a crash, to all members. */
    void announce(const target_crash& crash);
    void announce(const good_run& run);

private:
    void check_loop();
    target_state check_once();

    mesh_state& m_mesh;
    membership_controller& m_membership;
    api_client m_client;
    unsigned m_consecutive_failures = 0;
};

} // namespace tillerhall
