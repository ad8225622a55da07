/** @file The stages of a roll-out: when each ends and what it allows. */
#pragma once

#include "tillerhall/rollout/rollout_judge.hpp"
#include "tillerhall/rollout/rollout_record.hpp"

#include <cstddef>

namespace tillerhall
{

/** Greatest share of a service's calls for a release that is not yet shown
 * non-inferior, unless the settings give another. */
inline constexpr double default_exposure = 0.1;

/** What a stage allows the canary release. */
struct stage_allowance
{
    double share = 0;        ///< of the calls that reach the service
    std::size_t targets = 0; ///< canary targets that may get them
};

/**
 * @param exposure greatest share of calls for a release that is not yet shown
 * non-inferior; the first stages use half of it, which leaves room for the
 * later ones
 * @param stable_targets targets of the stable release; the number of canary
 * targets follows from it, so that each gets about the load of a stable one
 */
stage_allowance
allowance_of(rollout_stage stage, double exposure, std::size_t stable_targets);

/** The input of `next_move`. */
struct rollout_progress
{
    time_point stage_begun{}; ///< when this node entered the stage
    stage_evidence evidence;
    bool stable_is_idle = false;
    std::size_t stable_targets = 0; ///< live ones
    std::size_t live_canary_targets = 0;
};

/** What a running roll-out does next. */
enum class rollout_move
{
    wait,
    next_stage,
    complete,
    give_up
};

/**
 * Decides the next move of a running roll-out. A stage that would exceed the
 * exposure is entered only when the release is shown non-inferior
 * (`stage_evidence::is_noninferior`); otherwise the roll-out waits, and gives
 * up shortly before its time is over.
 *
 * A release may be bad from the start, later, under load, or for one class of
 * work. So half of the order's time is for observation at the least share; a
 * quarter and a half of the calls follow for a twelfth of the time each. With
 * an exposure of 0.1 these sum to 0.05 * 0.5 + 0.25 * 0.08 + 0.5 * 0.08 =
 * 0.085, so a fault found before the last stage never exceeds the exposure. A
 * release that turns bad in the last stage exceeds it. Does no I/O.
 */
rollout_move next_move(const rollout_record& known,
                       const rollout_progress& progress,
                       time_point now);

} // namespace tillerhall
