/** @file Processes the reports of the target on this host. */
#pragma once

#include "tillerhall/control/directory_controller.hpp"
#include "tillerhall/proxy/target_owner.hpp"

namespace tillerhall
{

/** Reply to a report. */
enum class report_reply
{
    acknowledged,
    retry,      ///< the departure is not in force or not persisted
    misdirected ///< the report is not of this node's target
};

/**
 * Applies reports to the target registry and announces the result to the other
 * nodes. The departure of a target is acknowledged only when the next boot of
 * this node will not use the target: the record is in the store or, if that
 * does not answer, at two peers. Peers keep it in memory and can all fail with
 * this node, so they are enough only for a target whose health can be checked:
 * for a while after its start a node uses no target that does not say it is
 * healthy. Runs on the first worker.
 */
class report_controller
{
public:
    report_controller(mesh_state& mesh,
                      membership_controller& membership,
                      directory_controller& directory,
                      target_registry& targets,
                      target_owner& owner);

    /** Processes one report. */
    report_reply take(const target_report& report);

    /** Records the departure of a target that told it in a response to a call.
     * The entries that passed it on know it too, so nothing waits until it is
     * persisted. */
    void departure_told(const std::string& start);

    /** Called once the departure records of earlier boots are loaded; until
     * then no reported target gets calls. */
    void departures_loaded();

    /** Announces changes that the owner observed, such as a target crash. */
    void announce_changes();

private:
    void apply_departures();
    void note_refused(const target_report& report, std::string_view reason);
    /** Announces the target that has come into use. */
    void target_changed();
    void start_confirming(const target_report& report);
    /** Checks the health of the target whose report awaits confirmation, until
     * it is confirmed or its later reports need none. */
    void confirm_target();
    /** @return whether @p target takes work now, by more than its report. */
    bool is_confirmed(const target_report& target);
    void announce();
    bool persist_departure();
    void replicate_to_peers(const std::shared_ptr<unsigned>& copies);

    mesh_state& m_mesh;
    membership_controller& m_membership;
    directory_controller& m_directory;
    target_registry& m_targets;
    target_owner& m_owner;
    bool m_is_confirming = false;
};

} // namespace tillerhall
