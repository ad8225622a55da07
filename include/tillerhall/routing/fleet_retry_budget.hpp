/** @file A node's part of a fleet-wide retry budget. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>

namespace tillerhall
{

/** The fleet-wide limit on retries, for each service and any window. */
struct fleet_retry_budget_limits
{
    double ratio = 0.2; ///< retries for each call
    double extra = 10;  ///< retries beyond that, fleet-wide
    duration window = std::chrono::seconds(10);
};

/**
 * Limits the retries of one service so that the sum over all nodes stays within
 * the fleet's limit in every window, without messages between nodes.
 *
 * A token bucket that holds at most this node's part of `extra` and gains a
 * share of `ratio` with each call of this node. In any window a node spends at
 * most its bucket and its gains, so the fleet spends at most extra + ratio x
 * calls. The bucket starts empty, so that repeated restarts of the fleet gain
 * nothing. Does no I/O; not thread-safe.
 */
class fleet_retry_budget
{
public:
    /**
     * Share of `extra` that is spent; with it a node may know only half of the
     * members.
     */
    static constexpr double spent_part = 0.5;
    /**
     * Share of `ratio` that is spent. The rest covers retries that calls of
     * this service cause at the services that it calls: a run that is repeated
     * repeats its nested calls, so repeated runs get only this rest.
     */
    static constexpr double spent_ratio = 0.75;
    static constexpr double rerun_ratio = 1 - spent_ratio;

    /**
     * Tokens that callers' calls leave to nested calls, at most what the bucket
     * holds beyond one. A failed nested call wastes a run of its parent, a
     * failed call of a caller only itself. In a shortage of tokens the bucket
     * rarely exceeds one token, so even half a token lets nested calls go
     * first.
     */
    static constexpr double kept_for_nested = 0.5;
    /** After so many calls of callers in a row nothing is kept. */
    static constexpr int nested_memory = 100;

    /** Counts a call of the service that began at this node. */
    void call(const fleet_retry_budget_limits& limits,
              std::size_t members,
              bool nested = false);

    /**
     * Takes a token for one retry.
     * @param nested made by a run of a target; such calls go first
     * @param is_rerun the call may have run before and made nested calls
     * @return false if there is none.
     */
    bool take(bool nested = false, bool is_rerun = false);

    /** Returns the token of a retry that never reached a target. */
    void give_back();

    double saved() const noexcept { return m_saved; }

private:
    double m_saved = 0;
    double m_reruns_saved = 0; ///< of `m_saved`, for calls that may have run
    double m_max_saved = 1;
    int m_calls_since_nested = nested_memory;
};

} // namespace tillerhall
