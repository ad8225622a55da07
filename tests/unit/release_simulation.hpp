/** @file Simulates a service whose canary release is judged. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/rollout/rollout_judge.hpp"

#include <array>
#include <cmath>
#include <numbers>
#include <vector>

namespace tillerhall
{

inline const time_point start{std::chrono::hours(1)};
inline const work_class reads{2, milliseconds(600), call_kind::repeatable};
inline const work_class sales{1, milliseconds(800), call_kind::once};

/** How a target of a simulated release behaves. */
struct simulated_target
{
    double failing = 0.004;
    double slower = 1;         ///< factor of the run time
    double sales_failing = -1; ///< failing share of sales; -1: `failing`
    double bad_from_s = 0;     ///< start of the fault
    double slow_share = 1;     ///< share of runs that are slower
    double bad_until_s = 1e9;  ///< end of the fault
};

inline double random_normal(random_source& random)
{
    constexpr double two = 2;
    return std::sqrt(-two * std::log(1 - random.unit())) *
           std::cos(two * std::numbers::pi * random.unit());
}

/** A service whose canary targets report each 0.15 s, stable ones each 0.6 s.
 */
class simulated_service
{
public:
    simulated_service(std::uint64_t seed,
                      std::vector<simulated_target> stable_targets,
                      std::vector<simulated_target> canary_targets)
        : m_random(seed)
        , m_stable_targets(std::move(stable_targets))
        , m_canary_targets(std::move(canary_targets))
        , m_totals(m_stable_targets.size() + m_canary_targets.size())
    {
    }

    /** Result of a simulation. */
    struct outcome
    {
        bool is_found_bad = false;
        bool is_noninferior = false; ///< shown so at some time before that
        unsigned bad = 0;            ///< bad runs of the release until then
        double seconds_since_fiftieth = 0; ///< from the 50th of them until then
    };

    /** Runs until the release is found bad or @p seconds are over.
     * @param stable_runs_per_s runs a second at each stable target
     * @param canary_runs_per_s runs a second at each canary target */
    outcome
    run(double stable_runs_per_s, double canary_runs_per_s, double seconds)
    {
        constexpr double report_interval_s = 0.15;
        unsigned step = 0;
        for (double at_s = 0; at_s < seconds; at_s += report_interval_s)
        {
            const auto now =
                start + milliseconds(static_cast<int>(at_s * 1000));
            for (std::size_t i = 0;
                 i < m_stable_targets.size() && step % 4 == 0; ++i)
                report(i, "v1", m_stable_targets[i],
                       4 * stable_runs_per_s * report_interval_s, at_s, now);
            ++step;
            for (std::size_t i = 0; i < m_canary_targets.size(); ++i)
                report(m_stable_targets.size() + i, "v2", m_canary_targets[i],
                       canary_runs_per_s * report_interval_s, at_s, now);
            if (m_bad < 50)
                m_fiftieth_at = at_s;
            if (m_judge.is_bad(m_canary_targets.size(), now))
                return {true, m_noninferior_at > 0, m_bad,
                        at_s - m_fiftieth_at};
            if (m_noninferior_at == 0 && m_judge.evidence().is_noninferior)
                m_noninferior_at = at_s;
        }
        return {false, m_noninferior_at > 0, m_bad, seconds};
    }

    /** @return seconds until the release was shown non-inferior; 0 if never. */
    double noninferior_at() const { return m_noninferior_at; }

    const rollout_judge& judge() const { return m_judge; }

private:
    struct target_totals
    {
        std::uint64_t taken = 0;
        counts_by_class counts;
        double due_runs = 0;
    };

    void report(std::size_t index,
                const std::string& release,
                const simulated_target& target,
                double runs,
                double at_s,
                time_point now)
    {
        auto& totals = m_totals[index];
        for (totals.due_runs += runs; totals.due_runs >= 1; --totals.due_runs)
            add_run(totals, release, target, at_s);
        owner_report sent;
        sent.owner = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
        sent.service = "perceel";
        sent.target_id = "i-" + std::to_string(index);
        sent.release = release;
        sent.taken = totals.taken;
        sent.counts = totals.counts;
        m_judge.take(sent, now);
    }

    void add_run(target_totals& totals,
                 const std::string& release,
                 const simulated_target& target,
                 double at_s)
    {
        constexpr double sales_share = 0.3;
        constexpr double median_ms = 120;
        constexpr double spread = 0.8;
        const bool is_bad_now =
            at_s >= target.bad_from_s && at_s < target.bad_until_s;
        const bool is_sale = m_random.unit() < sales_share;
        double failing = is_bad_now ? target.failing : 0.004;
        if (is_sale && target.sales_failing >= 0)
            failing = target.sales_failing;
        const bool is_slow =
            is_bad_now &&
            (target.slow_share >= 1 || m_random.unit() < target.slow_share);
        const double slower = is_slow ? target.slower : 1;
        const bool failed = m_random.unit() < failing;
        const double ms =
            median_ms * slower * std::exp(spread * random_normal(m_random));
        auto& counts = totals.counts[is_sale ? sales : reads];
        ++totals.taken;
        ++counts.ended;
        counts.failed += failed ? 1 : 0;
        if (!failed)
            ++counts.took[run_counts::bucket_of(
                milliseconds(static_cast<int>(ms)))];
        if (release == "v2" && is_bad_now && (failed || slower > 1.5))
            ++m_bad;
    }

    random_source m_random;
    std::vector<simulated_target> m_stable_targets;
    std::vector<simulated_target> m_canary_targets;
    std::vector<target_totals> m_totals;
    rollout_judge m_judge{"v1", "v2"};
    unsigned m_bad = 0;
    double m_fiftieth_at = 0;
    double m_noninferior_at = 0;
};

/** Makes targets on machines of different speed: one in four has half of the
 * usual speed, one in four 1.5 times. */
inline std::vector<simulated_target>
similar_targets(std::size_t count, simulated_target target = {})
{
    std::vector<simulated_target> made(count, target);
    for (std::size_t i = 0; i < count; ++i)
    {
        constexpr std::array slower{1.0, 2.0, 1.0, 0.67};
        made[i].slower *= slower[i % slower.size()];
    }
    return made;
}

inline constexpr int simulations = 200;
// A service of 32 targets with 1,900 calls a second: 60 at each stable target,
// and a twentieth of the calls over three canary targets.
inline constexpr double stable_runs_per_s = 60;
inline constexpr double canary_runs_per_s = 32;

} // namespace tillerhall
