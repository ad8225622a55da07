/** @file Judges a canary release by the reports of targets' owners. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/rollout/noninferiority_test.hpp"
#include "tillerhall/rollout/owner_report.hpp"
#include "tillerhall/rollout/target_regression_test.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tillerhall
{

/** What is known of the canary release in one stage of its roll-out. */
struct stage_evidence
{
    std::uint32_t ended = 0; ///< runs at canary targets
    std::uint32_t timed = 0; ///< of these, at targets that were warm
    /** Whether each class of work with a notable share of the service's runs
     * has enough runs. */
    bool has_every_class = false;
    /** Whether the release is shown non-inferior in each of these classes. */
    bool is_noninferior = false;
};

/** One class of work, at the canary release in this stage and at the stable
 * release recently. */
struct compared_class
{
    work_class work;
    run_counts canary;
    run_counts baseline;
    latency_thresholds thresholds;
};

/** Judges one service's canary release, as one node sees it. Does no I/O. */
class rollout_judge
{
public:
    /** Canary runs are compared with the stable release's runs of this last
     * span: an overload or a failed dependency affects both. */
    static constexpr std::chrono::seconds baseline_window{4};
    /** Regressed targets that make a release bad: a single host or target may
     * fail with any release. If a seventh of all targets fails, three of three
     * are among them in 3 of 1,000 cases. */
    static constexpr std::size_t min_regressed_targets = 3;
    /** This many excess bad runs, those at the worst target left out, make a
     * release bad whatever the tests of its targets say. It is below fifty,
     * from which on each further call to a bad release counts. */
    static constexpr double max_excess_bad_runs = 40;

    rollout_judge(std::string stable, std::string canary)
        : m_stable(std::move(stable))
        , m_canary(std::move(canary))
    {
    }

    /** Takes a report; ignores one that is older than the last.
     * @return whether its target is found regressed for the first time. */
    bool take(const owner_report& report, time_point now);

    /** Adds a target that another node found regressed. */
    void add_regressed(const std::string& target_id)
    {
        m_regressed.insert(target_id);
    }

    const std::set<std::string>& regressed_targets() const noexcept
    {
        return m_regressed;
    }

    /** @return why @p target_id is regressed, with figures; empty if that was
     * not found here. */
    std::string reason_of(const std::string& target_id) const;

    /**
     * @param targets live canary targets
     * @return whether the release is bad: enough of its targets do worse, and
     * of those with recent runs more do worse than do well.
     */
    bool is_bad(std::size_t targets, time_point now) const;

    /** Restarts the evidence for a new stage. */
    void begin_stage();
    stage_evidence evidence() const;

    /**
     * @param owners of live targets of the stable release
     * @return whether all of these that still report have been without calls
     * for a while.
     */
    bool is_idle(const std::vector<address>& owners, time_point now) const;

    /** @return the runs at the canary release in this stage. */
    const counts_by_class& stage_counts() const noexcept { return m_stage; }

    /** @return the compared runs by class of work, for operators. */
    std::vector<compared_class> compared() const;

    /** @return the recent runs at the stable release. */
    const release_baseline& baseline() const noexcept { return m_baseline; }

private:
    struct owner_state
    {
        owner_report last;
        counts_by_class tested; ///< the part of the counts that was tested
        time_point reported_at{};
        time_point busy_at{}; ///< last had or got a call
        time_point ran_at{};  ///< runs ended last
        target_regression_test regression;
        noninferiority_test noninferiority;
    };
    struct recent_counts
    {
        time_point at{};
        std::string target_id;
        counts_by_class counts;
    };

    /** Drops counts that are older than the baseline's window. */
    void drop_old_counts(time_point now);
    /** @return whether the baseline has enough runs, or none are expected. */
    bool can_test(time_point now) const;
    /** Adds the untested runs of a canary target to its tests. */
    void test_target(owner_state& owner, time_point now);
    void add_baseline_runs(const std::string& target_id,
                           const counts_by_class& new_runs,
                           time_point now);
    void update_baseline();
    /** @return the test of the release, over targets that are not regressed. */
    noninferiority_test release_test() const;
    /** @return whether bad runs alone make the release bad; those at the worst
     * target are left out. */
    bool has_too_many_bad_runs() const;

    std::string m_stable;                        ///< release
    std::string m_canary;                        ///< release
    std::map<std::string, owner_state> m_owners; ///< by target id
    std::deque<recent_counts> m_recent;          ///< of the stable release
    std::map<std::string, counts_by_class> m_recent_totals; ///< by target
    bool m_is_baseline_stale = false; ///< runs came or left since its update
    thresholds_by_class m_lowest_thresholds;
    release_baseline m_baseline{std::vector<counts_by_class>()};
    counts_by_class m_stage;           ///< of the canary release in this stage
    time_point m_first_report{};       ///< arrival
    std::set<std::string> m_regressed; ///< canary targets
};

} // namespace tillerhall
