#include "tillerhall/node/settings.hpp"

#include <array>

namespace tillerhall
{
namespace
{

constexpr bool required = true;
constexpr bool optional = false;
constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t hour_ms = 60 * minute_ms;

constexpr std::array table{
    setting{"node.rpc", &settings::rpc, required, 0, 0,
            "control address; identifies this node to other nodes"},
    setting{"node.peer", &settings::peer, required, 0, 0,
            "listens for calls from other nodes"},
    setting{"node.caller", &settings::caller, required, 0, 0,
            "listens for calls from callers"},
    setting{"node.operators", &settings::operators, required, 0, 0,
            "listens for the operator API, health checks and metrics"},
    setting{"node.advertise_rpc", &settings::advertise_rpc, optional, 0, 0,
            "control address as reached by other nodes, if not node.rpc"},
    setting{"node.advertise_peer", &settings::advertise_peer, optional, 0, 0,
            "call address as reached by other nodes, if not node.peer"},
    setting{"node.region", &settings::region, required, 0, 0,
            "region of this host"},
    setting{
        "node.domain", &settings::domain, required, 0, 0,
        "failure domain of this host; the place of its target in the table"},
    setting{"node.workers", &settings::workers, optional, 1, 64,
            "number of threads that process calls"},
    setting{"node.drain_ms", &settings::drain_ms, optional, 0, hour_ms,
            "longest time in ms that a planned stop waits for calls in flight"},
    setting{"node.ready", &settings::ready, optional, 0, 0,
            "readiness endpoint; only for nodes that follow routes in a feed"},
    setting{
        "node.stop_grace_s", &settings::stop_grace_s, optional, 1, 3'600,
        "seconds from SIGTERM to the forced exit; only for nodes that follow "
        "routes in a feed"},
    setting{
        "node.link_mbps", &settings::link_mbps, optional, 0, 1'000'000,
        "bandwidth of this host's link in Mbit/s; the nodes with the fastest "
        "links of a failure domain read the store for the others"},
    setting{"node.memory_limit_mb", &settings::memory_limit_mb, optional, 64,
            1'000'000,
            "memory in MB that the process may use; bounds the connections and "
            "bodies that it holds; only for nodes that follow routes in a "
            "feed"},
    setting{"node.descriptor_limit", &settings::descriptor_limit, optional, 0,
            1'000'000,
            "descriptors that the process may open, three quarters of them for "
            "clients; 0: its limit of open files; only for nodes that follow "
            "routes in a feed"},
    setting{"retry.ratio", &settings::retry_ratio, optional, 0, 10,
            "retries allowed per call, for all nodes together"},
    setting{"retry.extra", &settings::retry_extra, optional, 0, 1'000'000,
            "retries allowed in a window beyond that, for all nodes together"},
    setting{"retry.window_s", &settings::retry_window_s, optional, 1, 3'600,
            "length of the retry window in seconds"},
    setting{"target.service", &settings::service, required, 0, 0,
            "service of this node's target"},
    setting{"target.address", &settings::target, required, 0, 0,
            "address on which the target listens"},
    setting{"target.slots", &settings::target_slots, optional, 1, 10'000,
            "number of requests the target runs at once"},
    setting{"target.connections", &settings::target_connections, optional, 1,
            10'000, "number of connections the target accepts"},
    setting{"target.health_ms", &settings::target_health_ms, optional, 50,
            hour_ms, "interval of health checks in ms"},
    setting{"target.health_path", &settings::target_health_path, optional, 0, 0,
            "path of the health check"},
    setting{
        "target.not_run_header", &settings::target_not_run_header, optional, 0,
        0,
        "header by which the target asserts that a refused call has not run"},
    setting{"platform.tables", &settings::tables, required, 0, 0,
            "table service"},
    setting{"platform.objects", &settings::objects, required, 0, 0,
            "object store"},
    setting{"platform.hosts", &settings::hosts, required, 0, 0, "host list"},
    setting{"platform.timeout_ms", &settings::platform_timeout_ms, optional, 10,
            minute_ms, "timeout of requests to the platform in ms"},
    setting{
        "platform.part_writes_per_s", &settings::part_writes_per_s, optional, 1,
        1'000'000,
        "writes per second that one part of a table accepts, from all nodes"},
    setting{"mesh.seeds", &settings::seeds, optional, 0, 0,
            "control addresses that a joining node tries first"},
    setting{"mesh.heartbeat_ms", &settings::heartbeat_ms, optional, 20,
            minute_ms, "interval of heartbeats in ms"},
    setting{"mesh.heartbeat_timeout_ms", &settings::heartbeat_timeout_ms,
            optional, 10, minute_ms, "timeout of a heartbeat in ms"},
    setting{
        "mesh.suspect_ms", &settings::suspect_ms, optional, 50, hour_ms,
        "time in ms that a suspect has to refute before it is declared dead"},
    setting{"distribution.strategy", &settings::strategy, optional, 0, 0,
            "how versions are distributed"},
    setting{"distribution.fanout", &settings::fanout, optional, 1, 64,
            "number of nodes to which one node pushes a version"},
    setting{"distribution.poll_ms", &settings::poll_ms, optional, 20, hour_ms,
            "interval in ms at which a reader reads the source"},
    setting{"distribution.readers_per_domain", &settings::readers_per_domain,
            optional, 1, 100, "number of readers in each failure domain"},
    setting{"distribution.source_reads_per_s", &settings::source_reads_per_s,
            optional, 1, 1'000,
            "limit of reads of the source per second and node"},
    setting{"routing.policy", &settings::policy, optional, 0, 0,
            "policy by which a target is chosen"},
    setting{
        "routing.limit_dependent_runs", &settings::limit_dependent_runs,
        optional, 0, 1,
        "1: begin no more runs than the services that they call can finish"},
    setting{"rollout.exposure_share", &settings::exposure_share, optional, 0, 1,
            "greatest share of a service's calls that a release may get before "
            "it is shown to be non-inferior"},
    setting{"quota.overage", &settings::quota_overage, optional, 0, 1,
            "share by which an account's quota may be exceeded in a window"},
    setting{"quota.extra", &settings::quota_extra, optional, 0, 1'000'000,
            "calls by which the quota may be exceeded beyond that"},
    setting{"operators.token_file", &settings::token_file, optional, 0, 0,
            "file with the bearer token; if unset, TILLER_TOKEN is used"},
    setting{"log.level", &settings::log_level, optional, 0, 0,
            "lowest level logged: debug, info, warn or error"},
};

} // namespace

std::span<const setting> setting_table() noexcept
{
    return table;
}

} // namespace tillerhall
