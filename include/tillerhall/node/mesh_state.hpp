/** @file What the control plane of a node works on, on its first worker. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/membership/rumor_queue.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/node/settings.hpp"
#include "tillerhall/rpc/client_pool.hpp"
#include "tillerhall/rpc/server.hpp"

namespace tillerhall
{

/** Used by fibers of the first worker only, so it needs no lock. */
struct mesh_state
{
    mesh_state(const settings& given,
               const member& self,
               worker& first,
               blackboard& shared)
        : config(given)
        , on(first)
        , board(shared)
        , members(self)
        , random(entropy_seed())
        , pool(first.io(), shared.traffic, idle_connections, given.rpc.ip)
        , server(shared.traffic, shared.metrics)
    {
    }

    /** Heartbeat successors, their like the other way, and a tree's children.
     */
    static constexpr std::size_t idle_connections = 16;

    const settings& config;
    worker& on;
    blackboard& board;
    member_list members;
    rumor_queue rumors;
    random_source random;
    rpc_client_pool pool;
    rpc_server server;
    /** Called on the first worker with each new join of table and members. */
    std::function<void(const route_view&)> routes_changed;
    /** Called with the version of the routes that a peer told of. */
    std::function<void(std::uint64_t, const address&)> routes_heard;
    /** Asked for the roll-outs that heartbeats and joins tell of. */
    std::function<std::vector<rollout_record>()> rollouts_told;
    /** Called with the roll-outs that a peer told of. */
    std::function<void(const std::vector<rollout_record>&)> rollouts_heard;
};

} // namespace tillerhall
