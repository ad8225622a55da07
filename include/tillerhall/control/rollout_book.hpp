/** @file What this node knows of roll-outs, told to and heard from peers. */
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
 * Merges the records of roll-outs from wherever they come, publishes them on
 * the blackboard and tells all nodes at once of what is new: a verdict of one
 * node binds all. Heartbeats and joins carry the newest ones as well, for nodes
 * that a broadcast missed. Runs on the first worker.
 */
class rollout_book
{
public:
    explicit rollout_book(mesh_state& mesh);

    /** Adds the control method by which peers tell of roll-outs. */
    void add_methods();

    /** Called after every change, when the new view is published. */
    void on_change(std::function<void()> action);

    /** Takes @p offered, and tells everyone if it is news. */
    void merge_and_broadcast(const rollout_record& offered, const char* from);

    /** Takes what one node asked or answered; rumors do the rest. */
    void merge_records(const std::vector<rollout_record>& offered);

    /** @return the records that are worth a place in a heartbeat now. */
    std::vector<rollout_record> recent() const;

    const rollout_view::by_service& records() const { return m_records; }

    /** @return null if nothing was ordered for @p service. */
    const rollout_record* find(const std::string& service) const;

    /** The members have changed: finds out which releases are settled. */
    void note_members();

private:
    /** A release that all targets of a service have, and since when. */
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
    std::map<std::string, time_point> m_changed;         ///< by service
    std::map<std::string, sole_release> m_sole_releases; ///< by service
    rollout_view::releases m_stable;
    std::vector<std::function<void()>> m_on_change;
};

} // namespace tillerhall
