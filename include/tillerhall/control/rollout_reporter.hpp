/** @file Reports the runs of this host's target to the deciding nodes. */
#pragma once

#include "tillerhall/control/rollout_decider.hpp"
#include "tillerhall/proxy/target_owner.hpp"

#include <optional>

namespace tillerhall
{

/** Sends reports while a roll-out of this node's service is running. Runs on
 * the first worker. */
class rollout_reporter
{
public:
    rollout_reporter(mesh_state& mesh,
                     rollout_registry& registry,
                     rollout_decider& decider,
                     const target_registry& targets,
                     const target_owner& owner);

    void start();

private:
    void report_loop();
    /** Returns true if @p target is to be reported in this tick. */
    bool is_due(const rollout_record& record, const target_report& target);
    owner_report report_of(const target_report& target) const;
    void send(const owner_report& report);

    mesh_state& m_mesh;
    rollout_registry& m_registry;
    rollout_decider& m_decider;
    const target_registry& m_targets;
    const target_owner& m_owner;
    const std::uint64_t m_boot = wall_clock_ms();
    std::uint64_t m_reported_taken = 0;
    std::string m_reported_target;
    unsigned m_tick = 0;
};

} // namespace tillerhall
