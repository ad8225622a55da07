#include "tillerhall/rollout/rollout_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace tillerhall
{
namespace
{

struct stage_settings
{
    double share; ///< of all calls; 0: half of the exposure
    double end;   ///< earliest end, as a part of the order's time
    /** Whether every class of work needs runs, also at warm targets. */
    bool needs_all_classes;
    /** Whether the release must be shown non-inferior, since the next stage
     * gives more than a bad release may get. */
    bool needs_noninferiority;
};

constexpr std::array<stage_settings, 5> stages{{{0, 0.25, false, false},
                                                {0, 0.5, true, true},
                                                {0.25, 0.58, true, true},
                                                {0.5, 0.66, true, true},
                                                {1, 0.75, false, false}}};

// Enough targets to tell a bad release from a bad host within a few runs each.
constexpr std::size_t spread_targets = rollout_judge::min_regressed_targets;
// Runs in a stage: allows for some of each class of work.
constexpr std::uint32_t min_runs = 30;
// Longer than a stage takes to reach all nodes, plus a report of each owner.
constexpr milliseconds min_stage_duration(700);
constexpr milliseconds min_last_stage_duration(1'200);
// Part of the order's time after which a roll-out that has not reached its last
// stage gives up.
constexpr double give_up_part = 0.92;

const stage_settings& settings_of(rollout_stage stage)
{
    return stages[static_cast<std::size_t>(stage)];
}

bool has_enough_evidence(rollout_stage stage, const stage_evidence& evidence)
{
    if (evidence.ended < min_runs)
        return false;
    const auto& settings = settings_of(stage);
    if (settings.needs_noninferiority && !evidence.is_noninferior)
        return false;
    return !settings.needs_all_classes ||
           (evidence.timed >= min_runs && evidence.has_every_class);
}

} // namespace

stage_allowance
allowance_of(rollout_stage stage, double exposure, std::size_t stable_targets)
{
    constexpr double half = 0.5;
    const auto& settings = settings_of(stage);
    const double share = settings.share > 0 ? settings.share : exposure * half;
    const double load = share * static_cast<double>(stable_targets);
    // Rounded down in the first stages, so that each canary target gets no less
    // load than a stable one.
    const double wanted =
        stage <= rollout_stage::loaded ? std::floor(load) : std::ceil(load);
    const auto targets = std::max<std::size_t>(
        stage == rollout_stage::spread ? spread_targets : 1,
        static_cast<std::size_t>(wanted));
    return {share, targets};
}

rollout_move next_move(const rollout_record& known,
                       const rollout_progress& progress,
                       time_point now)
{
    const auto time_at = [&](double part)
    {
        return known.begun +
               std::chrono::duration_cast<duration>(known.order.time * part);
    };
    const bool is_last = known.stage == rollout_stage::all;
    if (!is_last && now >= time_at(give_up_part))
        return rollout_move::give_up;
    const auto min_duration =
        is_last ? min_last_stage_duration : min_stage_duration;
    if (progress.live_canary_targets == 0 ||
        now < progress.stage_begun + min_duration ||
        now < time_at(settings_of(known.stage).end))
        return rollout_move::wait;
    if (is_last)
        return progress.stable_is_idle ? rollout_move::complete
                                       : rollout_move::wait;
    return has_enough_evidence(known.stage, progress.evidence)
               ? rollout_move::next_stage
               : rollout_move::wait;
}

} // namespace tillerhall
