/** @file State shared by the controllers of a node. */
#pragma once

#include "tillerhall/core/published.hpp"
#include "tillerhall/node/call_log.hpp"
#include "tillerhall/node/journal.hpp"
#include "tillerhall/node/stall_detector.hpp"
#include "tillerhall/observe/burn_tracker.hpp"
#include "tillerhall/observe/metrics.hpp"
#include "tillerhall/observe/rate_limited_log.hpp"
#include "tillerhall/observe/traffic.hpp"
#include "tillerhall/rollout/rollout_view.hpp"
#include "tillerhall/routing/call_routes.hpp"
#include "tillerhall/routing/capacity_view.hpp"
#include "tillerhall/routing/domain_drains.hpp"
#include "tillerhall/routing/poison_calls.hpp"
#include "tillerhall/routing/route_view.hpp"
#include "tillerhall/routing/service_targets.hpp"

#include <atomic>

namespace tillerhall
{

/** Lifecycle phase of a node. */
enum class node_phase
{
    joining,
    ready,
    resuming, ///< after a pause, until its state is up to date again
    leaving,  ///< stop requested; new calls are still served
    finishing ///< running calls are finished; new calls are refused
};

std::string_view name_of(node_phase phase) noexcept;

/** Returns true if a node in @p phase has been asked to stop. */
inline bool is_stopping(node_phase phase) noexcept
{
    return phase >= node_phase::leaving;
}

/**
 * Immutable views, counters and the phase of one node. Controllers on the
 * first worker publish the views; any worker reads them.
 * Lock order: each member locks only itself, as a leaf.
 */
struct blackboard
{
    published<route_view> routes{route_view_ptr(new route_view)};
    /** Routes read from a feed; empty where calls are routed by the table. */
    published<call_routes> call_map{call_routes_ptr(new call_routes)};
    /** See `confirmed_copy`, of `call_map`. */
    std::atomic<time_point> routes_confirmed{time_point()};
    published<service_targets> targets{
        service_targets_ptr(new service_targets)};
    published<rollout_view> rollouts{rollout_view_ptr(new rollout_view)};
    published<domain_drains> drains{domain_drains_ptr(new domain_drains)};
    published<poison_calls> poison_view{poison_calls_ptr(new poison_calls)};
    /** Empty where no service is balanced between failure domains. */
    published<capacity_view> capacity{capacity_view_ptr(new capacity_view)};
    std::atomic<node_phase> phase{node_phase::joining};
    /** In a planned stop: when calls that have no answer end. */
    std::atomic<time_point> calls_end{time_point::max()};
    stall_detector control;
    std::atomic<std::int64_t> calls_in_flight{0};
    /** Wall clock when the current version took effect, in microseconds. */
    std::atomic<std::int64_t> applied_us{0};
    /** Wall clock of the accepting node when it accepted that version, in
     * microseconds. */
    std::atomic<std::int64_t> accepted_us{0};

    /** Returns true if calls may be accepted and forwarded now. */
    bool may_take_calls() const noexcept
    {
        return phase == node_phase::ready && !control.is_stalled();
    }

    metrics_registry metrics;
    traffic_counters traffic;
    burn_tracker burn;
    call_log calls;
    journal decisions;
    rate_limited_log call_lines;
};

} // namespace tillerhall
