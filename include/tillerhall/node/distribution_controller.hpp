/** @file Receives table versions and distributes them to other nodes. */
#pragma once

#include "tillerhall/distribution/source_freshness.hpp"
#include "tillerhall/distribution/strategy.hpp"
#include "tillerhall/distribution/update_log.hpp"
#include "tillerhall/distribution/version_gate.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/node/messages.hpp"

#include <optional>

namespace tillerhall
{

/** Owns the version gate. Used on the first worker only. */
class distribution_controller
{
public:
    explicit distribution_controller(mesh_state& mesh);

    /** Registers the control methods for pushes, pulls and watching. */
    void add_methods();

    /** Offers a version to the gate and sends it to other nodes unless it is
     * old or corrupt. */
    gate_decision distribute(const table_update& update);

    /** Offers a version to the gate without sending it. */
    gate_decision offer(const table_update& update);

    /** Records that @p peer has @p version; pulls from it if that is newer. */
    void note_peer_version(std::uint64_t version, const address& peer);

    /** Pulls from @p peer. @return true if it answered. */
    bool pull_now(const address& peer);

    /** Rebuilds the routes and retries versions that wait in the gate, after
     * member records have changed. */
    void members_changed();

    /** @return which live members and suspects have reached @p version. */
    watch_report watch(std::uint64_t version);

    const table_view_ptr& current() const noexcept { return m_gate.current(); }
    std::uint64_t greatest_seen() const noexcept
    {
        return m_gate.greatest_seen();
    }
    void note_version(std::uint64_t version) noexcept
    {
        m_gate.note_version(version);
    }
    const distribution_strategy& strategy() const noexcept
    {
        return m_strategy;
    }

private:
    boost::json::object on_push(const boost::json::object& params);
    boost::json::object on_pull(const boost::json::object& params);
    boost::json::object on_snapshot(const boost::json::object& params);
    boost::json::object on_watch(const boost::json::object& params);

    bool names_known(const config_table& table) const;
    void after_swap(const table_view& before, const table_view& after);
    void publish_routes();
    void count(gate_decision decision, const table_update& update);

    void deliver(const table_update& update, const key_range& range);
    void deliver_part(const push_message& message,
                      const std::vector<address>& candidates);

    bool pull_once(const address& peer);
    bool pull_snapshot(const address& peer);

    watch_report watch_range(std::uint64_t version, const key_range& range);
    watch_report unreachable(const key_range& range);

    mesh_state& m_mesh;
    const distribution_strategy& m_strategy;
    version_gate m_gate;
    update_log m_log;
    bool m_pulling = false;
    bool m_publish_due = false;
    unsigned m_snapshots_served = 0;
};

} // namespace tillerhall
