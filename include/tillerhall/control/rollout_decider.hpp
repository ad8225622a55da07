/** @file Decides on roll-outs by the reports of owners. */
#pragma once

#include "tillerhall/control/rollout_store_sync.hpp"
#include "tillerhall/rollout/rollout_judge.hpp"

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>

namespace tillerhall
{

/**
 * Owners report to the best reader of each failure domain, so a few nodes have
 * all evidence and each of them may decide. A decision binds all nodes; the
 * store resolves conflicts. Reports hold counts since the start of a target, so
 * a new reader has all evidence after one round of reports. Runs on the first
 * worker.
 */
class rollout_decider
{
public:
    /** @param is_reader returns true if this node decides also without reports,
     * for when no target of the new release exists */
    rollout_decider(mesh_state& mesh,
                    rollout_registry& registry,
                    rollout_store_sync& store_sync,
                    std::function<bool()> is_reader);

    void add_methods();
    void start();

    /** Processes a report of this node or of another owner. */
    void add_report(const owner_report& report);

    /** Returns state and evidence of each roll-out, for operators: of this node
     * or, if it receives no reports, of a node that does. */
    boost::json::array describe();

private:
    /** The evidence for one order's release so far. */
    struct evaluation
    {
        std::uint64_t revision = 0; ///< of the order
        rollout_stage stage = rollout_stage::spread;
        time_point stage_begun{};
        time_point last_report{};
        rollout_judge judge;

        evaluation(const rollout_record& record, time_point now);
    };

    boost::json::array describe_own() const;
    /** Returns true if reports of all running roll-outs arrive here. */
    bool has_recent_reports() const;
    void decide_loop();
    void decide(const rollout_record& record);
    void advance(const rollout_record& record, evaluation& current);
    /** Logs the compared figures at the end of a stage. */
    void log_stage_end(const rollout_record& record,
                       const rollout_judge& judge);
    void roll_back(const rollout_record& record, std::string reason);
    /** Returns the evaluation of a running roll-out; restarts it with a new
     * order and notes a new stage. */
    evaluation& evaluation_of(const rollout_record& record);
    /** Returns the owners of serving targets of @p release. */
    std::vector<address> owners_of(const std::string& service,
                                   const std::string& release) const;
    std::string rollback_reason(const evaluation& current) const;

    mesh_state& m_mesh;
    rollout_registry& m_registry;
    rollout_store_sync& m_store_sync;
    std::function<bool()> m_is_reader;
    std::map<std::string, evaluation> m_evaluations; ///< by service
};

} // namespace tillerhall
