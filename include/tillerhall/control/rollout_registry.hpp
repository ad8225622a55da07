/** @file Records of all roll-outs, merged with those of the other nodes. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/rollout/rollout_view.hpp"

#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * Merges the records of roll-outs from all sources, publishes them on the
 * blackboard and broadcasts changes: the outcome that one node decides binds
 * all. Heartbeats and joins repeat recent records for nodes that a broadcast
 * missed. Runs on the first worker.
 */
class rollout_registry
{
public:
    explicit rollout_registry(mesh_state& mesh);

    /** Adds the control method that receives records from peers. */
    void add_methods();

    /** Adds an action to run after each change, once the view is published. */
    void on_change(std::function<void()> action);

    /** Merges @p offered and broadcasts the record if it changed.
     * @param from where it came from, for the log */
    void merge_and_broadcast(const rollout_record& offered, const char* from);

    /** Merges records that a peer sent, without a broadcast. */
    void merge_records(const std::vector<rollout_record>& offered);

    /** Returns the running and recently changed records, for heartbeats. */
    std::vector<rollout_record> recent() const;

    const rollout_view::by_service& records() const { return m_records; }

    /** Returns null if there is no roll-out of @p service. */
    const rollout_record* find(const std::string& service) const;

    /** Updates the stable releases after a change of the members. */
    void update_stable_releases();

private:
    /** The only release of a service, and since when it is the only one. */
    struct sole_release
    {
        std::string release;
        time_point since{};
    };

    boost::json::object on_rollouts(const boost::json::object& params);
    bool merge_record(const rollout_record& offered, const std::string& from);
    void fill_stable_release();
    void note_sole_releases();
    void publish();
    void broadcast(const std::vector<rollout_record>& records,
                   const key_range& range);

    mesh_state& m_mesh;
    rollout_view::by_service m_records;
    std::map<std::string, time_point> m_changed; ///< last change, by service
    std::map<std::string, sole_release> m_sole_releases; ///< by service
    rollout_view::releases m_stable;
    std::vector<std::function<void()>> m_on_change;
};

} // namespace tillerhall
