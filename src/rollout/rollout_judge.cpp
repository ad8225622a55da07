#include "tillerhall/rollout/rollout_judge.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace tillerhall
{
namespace
{

// Targets without a run for longer are not counted for or against a release.
constexpr std::chrono::seconds recent_run_window(3);
// Longer than the last stage takes to reach all nodes, plus calls in transit.
constexpr milliseconds idle_after(700);
// Owners report twice a second; one without a report for longer is gone or
// unreachable.
constexpr milliseconds report_timeout(2'000);
// Classes of work with less than one in this many runs are not required.
constexpr std::uint32_t min_class_divisor = 20;
// Enough to see a failure with 95% probability if a quarter of the runs fails.
constexpr std::uint32_t min_class_runs = 12;
// Runs of the stable release before the canary is tested: with fewer, a failure
// of all releases is taken for one of the canary, and a good release was rolled
// back in 10 of 200 plays of such a failure. A service without so many
// runs is tested after the timeout.
constexpr std::uint32_t min_baseline_runs = 60;
constexpr milliseconds baseline_timeout(2'000);
// Lowest scores of the targets for which a release is rolled back, as
// log-likelihood ratios: of each target, and on average. Of three targets with
// one regressed, whose score is 8, the other two need a sum of 13, which has a
// probability of e^-13 by chance. In a failure of all releases, a mean of 6
// rolled back one of 200 good releases; 7 rolled back none and found all bad
// ones in time.
constexpr double min_score = 3;
constexpr double min_mean_score = 7;

void subtract(counts_by_class& from, const counts_by_class& removed)
{
    for (const auto& [work, counts] : removed)
    {
        auto& left = from[work];
        left = left.since(counts);
        if (left.ended == 0 && left.timed() == 0)
            from.erase(work);
    }
}

std::uint32_t total_ended(const counts_by_class& counts)
{
    std::uint32_t sum = 0;
    for (const auto& [work, each] : counts)
        sum += each.ended;
    return sum;
}

counts_by_class difference(const counts_by_class& now,
                           const counts_by_class& before)
{
    counts_by_class new_runs;
    for (const auto& [work, counts] : now)
    {
        const auto known = before.find(work);
        const auto added =
            known == before.end() ? counts : counts.since(known->second);
        if (added.ended > 0 || added.timed() > 0)
            new_runs.emplace(work, added);
    }
    return new_runs;
}

} // namespace

bool rollout_judge::take(const owner_report& report, time_point now)
{
    drop_old_counts(now);
    auto& known = m_owners[report.target_id];
    const bool is_first = known.reported_at == time_point{};
    if (!is_first &&
        (report.boot < known.last.boot ||
         (report.boot == known.last.boot && report.taken < known.last.taken)))
        return false;
    if (report.boot > known.last.boot)
    {
        known.last.counts.clear();
        known.tested.clear();
    }
    if (m_first_report == time_point{})
        m_first_report = now;
    const auto new_runs = difference(report.counts, known.last.counts);
    if (is_first || report.running > 0 || report.taken != known.last.taken)
        known.busy_at = now;
    known.reported_at = now;
    known.last = report;
    if (!new_runs.empty())
        known.ran_at = now;
    // The first report may include old runs.
    if (report.release == m_stable && !is_first)
        add_baseline_runs(report.target_id, new_runs, now);
    if (report.release != m_canary)
        return false;
    for (const auto& [work, counts] : new_runs)
        m_stage[work] += counts;
    test_target(known, now);
    return known.regression.is_regressed() &&
           m_regressed.insert(report.target_id).second;
}

bool rollout_judge::can_test(time_point now) const
{
    return total_ended(m_baseline.counts()) >= min_baseline_runs ||
           now > m_first_report + baseline_timeout;
}

void rollout_judge::test_target(owner_state& owner, time_point now)
{
    if (m_is_baseline_stale)
        update_baseline();
    if (!can_test(now))
        return; // the next report has these runs as well
    const auto new_runs = difference(owner.last.counts, owner.tested);
    owner.regression.add(new_runs, m_baseline);
    owner.noninferiority.add(new_runs, m_baseline);
    owner.tested = owner.last.counts;
}

void rollout_judge::add_baseline_runs(const std::string& target_id,
                                      const counts_by_class& new_runs,
                                      time_point now)
{
    if (new_runs.empty())
        return;
    m_recent.push_back({now, target_id, new_runs});
    auto& before = m_recent_totals[target_id];
    for (const auto& [work, counts] : new_runs)
        before[work] += counts;
    m_is_baseline_stale = true;
}

void rollout_judge::update_baseline()
{
    m_is_baseline_stale = false;
    std::vector<counts_by_class> by_target;
    by_target.reserve(m_recent_totals.size());
    for (const auto& [id, counts] : m_recent_totals)
        by_target.push_back(counts);
    m_baseline = release_baseline(std::move(by_target), m_lowest_thresholds);
    for (const auto& [work, thresholds] : m_baseline.current_thresholds())
    {
        auto& lowest = m_lowest_thresholds[work];
        lowest.slow = std::min(lowest.slow, thresholds.slow);
        lowest.tail = std::min(lowest.tail, thresholds.tail);
    }
}

void rollout_judge::drop_old_counts(time_point now)
{
    while (!m_recent.empty() && m_recent.front().at + baseline_window < now)
    {
        const auto& removed = m_recent.front();
        const auto from = m_recent_totals.find(removed.target_id);
        subtract(from->second, removed.counts);
        if (from->second.empty())
            m_recent_totals.erase(from);
        m_recent.pop_front();
        m_is_baseline_stale = true;
    }
}

std::string rollout_judge::reason_of(const std::string& target_id) const
{
    const auto found = m_owners.find(target_id);
    return found == m_owners.end() ? std::string()
                                   : found->second.regression.reason();
}

noninferiority_test rollout_judge::release_test() const
{
    noninferiority_test sum;
    std::size_t well_count = 0;
    std::size_t regressed = 0;
    for (const auto& [id, state] : m_owners)
    {
        if (state.last.release != m_canary || state.noninferiority.runs() == 0)
            continue;
        if (m_regressed.contains(id))
        {
            ++regressed;
            continue;
        }
        ++well_count;
        sum += state.noninferiority;
    }
    // Regressed targets are left out, but more than half must do well.
    return well_count > regressed ? sum : noninferiority_test();
}

bool rollout_judge::has_too_many_bad_runs() const
{
    double worst_excess = 0;
    noninferiority_test all;
    std::vector<const noninferiority_test*> each_target;
    for (const auto& [id, state] : m_owners)
        if (state.last.release == m_canary && state.noninferiority.runs() > 0)
            each_target.push_back(&state.noninferiority);
    const noninferiority_test* worst_target = nullptr;
    for (const auto* each : each_target)
        if (each_target.size() > 1 && each->excess_bad_runs() > worst_excess)
        {
            worst_excess = each->excess_bad_runs();
            worst_target = each;
        }
    for (const auto* each : each_target)
        if (each != worst_target)
            all += *each;
    return all.excess_bad_runs() >= max_excess_bad_runs;
}

bool rollout_judge::is_bad(std::size_t targets, time_point now) const
{
    if (has_too_many_bad_runs())
        return true;
    const auto needed =
        std::max<std::size_t>(1, std::min(targets, min_regressed_targets));
    std::vector<double> scores(m_regressed.size(),
                               target_regression_test::threshold);
    std::size_t well_count = 0;
    for (const auto& [id, state] : m_owners)
    {
        if (state.last.release != m_canary ||
            now >= state.ran_at + recent_run_window || m_regressed.contains(id))
            continue;
        const double score = state.regression.score();
        if (score >= min_score)
            scores.push_back(score);
        else
            ++well_count;
    }
    if (scores.size() < needed || scores.size() <= well_count)
        return false;
    std::ranges::sort(scores, std::greater<>());
    const double sum = std::accumulate(
        scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(needed),
        0.0);
    return sum >= min_mean_score * static_cast<double>(needed);
}

void rollout_judge::begin_stage()
{
    m_stage.clear();
}

stage_evidence rollout_judge::evidence() const
{
    stage_evidence result;
    result.ended = total_ended(m_stage);
    for (const auto& [work, counts] : m_stage)
        result.timed += counts.timed();
    const auto& baseline_counts = m_baseline.counts();
    const auto before = total_ended(baseline_counts);
    const auto is_rare = [&](const auto& each)
    { return each.second.ended * min_class_divisor < before; };
    result.has_every_class =
        std::ranges::all_of(baseline_counts,
                            [&](const auto& each)
                            {
                                if (is_rare(each))
                                    return true;
                                const auto found = m_stage.find(each.first);
                                return found != m_stage.end() &&
                                       found->second.ended >= min_class_runs;
                            });
    const auto test = release_test();
    result.is_noninferior =
        before >= min_baseline_runs &&
        std::ranges::all_of(
            baseline_counts, [&](const auto& each)
            { return is_rare(each) || test.passes(each.first, m_baseline); });
    return result;
}

std::vector<compared_class> rollout_judge::compared() const
{
    std::vector<compared_class> all;
    for (const auto& [work, baseline_counts] : m_baseline.counts())
    {
        const auto found = m_stage.find(work);
        all.push_back({work,
                       found == m_stage.end() ? run_counts() : found->second,
                       baseline_counts,
                       {m_baseline.slow_threshold(work),
                        m_baseline.tail_threshold(work)}});
    }
    return all;
}

bool rollout_judge::is_idle(const std::vector<address>& owners,
                            time_point now) const
{
    return std::ranges::all_of(
        m_owners,
        [&](const auto& each)
        {
            const auto& state = each.second;
            if (state.last.release != m_stable ||
                std::ranges::find(owners, state.last.owner) == owners.end() ||
                now > state.reported_at + report_timeout)
                return true;
            return state.last.running == 0 && now > state.busy_at + idle_after;
        });
}

} // namespace tillerhall
