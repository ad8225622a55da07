/** @file Takes the reports of the target beside this node. */
#pragma once

#include "tillerhall/control/directory_controller.hpp"
#include "tillerhall/proxy/target_owner.hpp"

namespace tillerhall
{

/**
 * Takes reports into the register, tells the other nodes and, for a leaving,
 * sees to it that it is copies where this node's next boot finds it before
 * it is acknowledged: in the store or, when that does not answer, by two peers.
 * Runs on the first worker.
 */
class report_controller
{
public:
    report_controller(mesh_state& mesh,
                      membership_controller& membership,
                      directory_controller& directory,
                      target_register& targets,
                      target_owner& owner);

    /**
     * Takes one report.
     * @return whether it may be acknowledged; false asks the target to report
     * again, as a leaving could not be copies anywhere.
     */
    bool take(const target_report& report);

    /** The members are known: reports can be trusted from now on. */
    void marks_loaded();

    /** The owner has seen what others should know, such as a target's end. */
    void tell_news();

private:
    void apply_departures();
    void announce();
    bool persist_departure();
    void replicate_to_peers(const std::shared_ptr<unsigned>& copies);

    mesh_state& m_mesh;
    membership_controller& m_membership;
    directory_controller& m_directory;
    target_register& m_targets;
    target_owner& m_owner;
};

} // namespace tillerhall
