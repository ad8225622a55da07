/** @file Maintains this node's member list and joins the mesh. */
#pragma once

#include "tillerhall/core/backoff.hpp"
#include "tillerhall/core/token_bucket.hpp"
#include "tillerhall/distribution/source_freshness.hpp"
#include "tillerhall/membership/heartbeat_schedule.hpp"
#include "tillerhall/membership/suspicion.hpp"
#include "tillerhall/node/distribution_controller.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/node/messages.hpp"

#include <map>
#include <optional>
#include <set>

namespace tillerhall
{

/**
 * Sends and answers heartbeats, joins and leaves the mesh, and synchronizes
 * with peers after a pause of the process. Used on the first worker only.
 */
class membership_controller
{
public:
    /** Number of peers that a joining or resuming node asks. */
    static constexpr std::size_t peers_asked = 3;

    membership_controller(mesh_state& mesh, distribution_controller& tables);

    /** Registers the control methods of membership with the RPC server. */
    void add_methods();

    void start();

    /**
     * Requests the members and the table from @p peers in order, until
     * @p max_answers of them have answered.
     * @return true if any of them answered.
     */
    bool join_through(const std::vector<address>& peers,
                      std::size_t max_answers = peers_asked);

    /** Announces a change of this node's state or target to all members. */
    void announce_self(member_state state, target_state target_is);

    /** Replaces this node's own record and announces it to all members. */
    void announce_self(const member& changed);

    /**
     * Sends this node's own record to @p peer.
     * @return true if the peer acknowledged it.
     */
    bool send_self_record(const address& peer);

    /** Merges records that were read from the store. */
    void merge_stored(const std::vector<member>& records);

    /** Records a failed connection to @p node. */
    void connect_failed(const address& node);

    /** Schedules heartbeats to those of @p hosts that are not known members. */
    void contact_unknown(const std::vector<address>& hosts);

    source_freshness& freshness() noexcept { return m_freshness; }

private:
    boost::json::object on_heartbeat(const boost::json::object& params);
    boost::json::object on_join(const boost::json::object& params);
    boost::json::object on_sync(const boost::json::object& params);
    boost::json::object on_announce(const boost::json::object& params);
    boost::json::object on_gather(const boost::json::object& params);

    void heartbeat_loop();
    void send_heartbeat();
    heartbeat_message make_heartbeat();
    void handle_heartbeat(const heartbeat_message& message,
                          const address& peer);
    void mark_replaced(const address& node, const std::string& advertised);
    void refute(const member& accusation);
    void spread_newer_records(const sync_answer& theirs);
    void sync_with(const address& peer);
    void resume();
    void expire_suspects();
    void forget_own_evidence();
    /** Whether a changed record is passed on with heartbeats. */
    enum class propagation
    {
        none,
        by_rumor
    };

    void merge(const member& record, const char* source, propagation propagate);
    void merge_all(const std::vector<member>& records,
                   const char* source,
                   propagation propagate);
    void announce_join(const address& joiner);
    /**
     * Sends @p records to all members. In a large mesh one member of each
     * failure domain collects them and broadcasts batches. Guards against N
     * messages to each of N nodes when all nodes start at the same time.
     */
    void announce_to_all(const std::vector<member>& records);
    /** @return the member that batches announcements of this failure domain, or
     * nullopt if a broadcast takes at most two hops. */
    std::optional<address> batching_member() const;
    /** Adds @p records to the batch that is broadcast after `batch_delay`. */
    void add_to_batch(const std::vector<member>& records);
    duration batch_delay() const;
    void broadcast(const announce_message& message);
    std::vector<address> random_peers(std::size_t count);

    mesh_state& m_mesh;
    distribution_controller& m_tables;
    heartbeat_schedule m_schedule;
    suspicion m_suspicion;
    source_freshness m_freshness;
    token_bucket m_sync_limiter;
    token_bucket m_refutation_limiter;
    std::map<address, std::uint64_t> m_versions_seen;
    std::map<address, std::uint64_t> m_verified; ///< incarnation that confirmed
                                                 ///< its address
    std::set<address> m_batch;                   ///< to be broadcast
    std::vector<address> m_unknown_hosts;
    unsigned m_consecutive_differences = 0;
};

} // namespace tillerhall
