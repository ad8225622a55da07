/** @file Shared state of a node's control plane. */
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

/** Used by fibers of the first worker only; not locked. */
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

    /** Enough for ring successors, ring predecessors and the children in a
     * broadcast tree. */
    static constexpr std::size_t idle_connections = 16;

    const settings& config;
    worker& on;
    blackboard& board;
    member_list members;
    rumor_queue rumors;
    random_source random;
    rpc_client_pool pool;
    rpc_server server;
    /** Called on the first worker with each new route view. */
    std::function<void(const route_view&)> routes_changed;
    /** Called with the version of the routes that a peer reported. */
    std::function<void(std::uint64_t, const address&)> on_routes_version;
    /** Returns the roll-outs to include in heartbeats and answers to joins. */
    std::function<std::vector<rollout_record>()> rollouts_to_send;
    /** Called with the roll-outs that a peer sent. */
    std::function<void(const std::vector<rollout_record>&)> on_rollouts;
};

} // namespace tillerhall
