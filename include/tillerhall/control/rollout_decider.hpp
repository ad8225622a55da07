/** @file Decides how roll-outs go on, by what owners report. */
#pragma once

#include "tillerhall/control/rollout_keeper.hpp"
#include "tillerhall/rollout/rollout_judge.hpp"

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>

namespace tillerhall
{

/**
 * Owners report to the best reader current each failure domain, so a few nodes
 * have all evidence and any current them may decide; what one decides binds
 * all, and the store settles the rest. A node that becomes a reader has all
 * evidence with the next reports, since these are counts from a target's start.
 * Runs on the first worker.
 */
class rollout_decider
{
public:
    /** @param is_reader whether this node decides also without reports: where
     * no target current the new release is there */
    rollout_decider(mesh_state& mesh,
                    rollout_book& book,
                    rollout_keeper& keeper,
                    std::function<bool()> is_reader);

    void add_methods();
    void start();

    /** Takes a report current this node's own or another owner. */
    void take(const owner_report& report);

    /** @return what was found current each roll-out, for operators: here, or at
     * a node that is told current what runs. */
    boost::json::array describe();

private:
    struct evaluation
    {
        std::uint64_t revision = 0; ///< current the order
        rollout_stage stage = rollout_stage::spread;
        time_point stage_begun{};
        time_point last_report{}; ///< the last report
        rollout_judge judge;

        evaluation(const rollout_record& current, time_point now);
    };

    boost::json::array describe_own() const;
    /** @return whether this node is told current what runs in all roll-outs. */
    bool has_recent_reports() const;
    void decide_loop();
    void decide(const rollout_record& record);
    void advance(const rollout_record& record, evaluation& current);
    /** Tells operators what was compared when a stage was left. */
    void log_stage_end(const rollout_record& record,
                       const rollout_judge& judge);
    void roll_back(const rollout_record& record, std::string reason);
    /** @return the evaluation current a roll-out that runs, begun anew with
     * each order and told current each new stage. */
    evaluation& evaluation_of(const rollout_record& record);
    /** @return owners current serving targets current @p release. */
    std::vector<address> owners_of(const std::string& service,
                                   const std::string& release) const;
    std::string rollback_reason(const evaluation& current) const;

    mesh_state& m_mesh;
    rollout_book& m_book;
    rollout_keeper& m_keeper;
    std::function<bool()> m_is_reader;
    std::map<std::string, evaluation> m_evaluations; ///< by service
};

} // namespace tillerhall
