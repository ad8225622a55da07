#include "tillerhall/routing/dependency_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tillerhall
{
namespace
{

// Weight of the newest report in the mean load.
constexpr double load_weight = 1.0 / 16;
// Time after which a report replaces most of that mean.
constexpr double load_memory_s = 1;
// A shortage is measured for so long and so many calls.
constexpr milliseconds min_seen(150);
constexpr milliseconds max_seen(500);
constexpr double calls_seen = 10;
// Weight of the newest refusal in the load at which calls are refused.
constexpr double full_load_weight = 0.1;
// The rate rises fast only below this share of that load.
constexpr double room_share = 0.92;
// Runs in the mean number of nested calls.
constexpr int mean_runs = 50;
// A run that is cut short makes fewer calls than others. It counts only while
// fewer runs are known than this, or a service that is gone since the start of
// the node would not be known as called.
constexpr int runs_to_know = 5;
// Fewer calls a run are not worth a limit.
constexpr double min_calls = 0.02;
// Time of the rate that a bucket holds.
constexpr double burst_s = 0.1;
// Above the demand by this factor a limit holds nothing back.
constexpr double max_over_demand = 1.5;
constexpr double max_load = 2;
constexpr double queueing_load = 1.2;
constexpr double queueing_step = 0.3;
constexpr milliseconds min_return(50);
constexpr milliseconds max_return(1'000);

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

template <class Action>
void dependency_limiter::for_each_called(const work_class& work,
                                         const Action& action)
{
    const auto found = m_classes.find(work);
    if (found == m_classes.end())
        return;
    for (const auto& [service, calls] : found->second.mean)
        if (calls >= min_calls)
            action(m_dependencies[service], calls);
}

double dependency_limiter::burst(const dependency& called)
{
    // At least two nested calls, or a run could wait for its tokens forever.
    return std::max(2.0, called.rate * burst_s);
}

double dependency_limiter::threshold(dependency& called,
                                     std::uint32_t urgency,
                                     time_point now)
{
    constexpr double seen = 0.5;
    double asked = 0;
    double begun = 0;
    bool is_most_urgent = true;
    for (auto& [rank, counts] : called.ranks)
    {
        asked += counts.asked.count(now);
        begun += counts.begun.count(now);
        if (rank < urgency && counts.asked.count(now) > seen)
            is_most_urgent = false;
    }
    auto& own = called.ranks[urgency];
    const double own_share =
        own.begun.count(now) / std::max(1.0, own.asked.count(now));
    if (is_most_urgent || own_share * asked < min_rank_share * begun)
        return 0;
    return burst(called) / 2;
}

duration dependency_limiter::book_return(dependency& called,
                                         double missing,
                                         double calls,
                                         time_point now)
{
    const auto after = [&](double tokens)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(tokens / called.rate));
    };
    // All calls held back at one moment would return together otherwise.
    const auto soonest = now + std::max<duration>(min_return, after(missing));
    called.last_return = std::min(
        std::max(called.last_return + after(calls), soonest), now + max_return);
    return called.last_return - now;
}

std::optional<duration> dependency_limiter::hold_back(const work_class& work,
                                                      std::uint32_t urgency,
                                                      time_point now)
{
    std::optional<duration> wait;
    for_each_called(work,
                    [&](dependency& called, double calls)
                    {
                        update(called, now);
                        called.demand.add(calls, now);
                        called.calls_per_run = calls;
                        called.ranks[urgency].asked.add(1, now);
                        if (!called.is_limited)
                            return;
                        const double least = threshold(called, urgency, now);
                        if (called.tokens > least)
                            return;
                        called.last_held = now;
                        wait =
                            std::max(wait.value_or(duration::zero()),
                                     book_return(called, least - called.tokens,
                                                 calls, now));
                    });
    if (wait)
        return wait;
    for_each_called(work,
                    [&](dependency& called, double calls)
                    {
                        called.ranks[urgency].begun.add(1, now);
                        if (called.is_limited)
                            called.tokens -= calls;
                    });
    return std::nullopt;
}

void dependency_limiter::not_begun(const work_class& work)
{
    for_each_called(work,
                    [](dependency& called, double calls)
                    {
                        if (called.is_limited)
                            called.tokens =
                                std::min(burst(called), called.tokens + calls);
                    });
}

void dependency_limiter::ran(const work_class& work,
                             const nested_calls& calls,
                             bool cut_short)
{
    if (calls.empty() && !m_classes.contains(work))
        return;
    auto& known = m_classes[work];
    if (cut_short && known.runs >= runs_to_know)
        return;
    known.runs = std::min(mean_runs, known.runs + 1);
    for (const auto& [service, made] : calls)
        known.mean.try_emplace(service, 0);
    for (auto& [service, mean] : known.mean)
    {
        const auto made = calls.find(service);
        mean += ((made == calls.end() ? 0 : made->second) - mean) / known.runs;
    }
}

void dependency_limiter::ended(const std::string& service,
                               nested_end end,
                               std::optional<double> load,
                               time_point now)
{
    auto& called = m_dependencies[service];
    called.service = service;
    update(called, now);
    if (end == nested_end::lacked_capacity)
        return refused(called, now);
    if (end == nested_end::done)
        succeeded(called, load, now);
}

void dependency_limiter::succeeded(dependency& called,
                                   std::optional<double> load,
                                   time_point now)
{
    if (load)
    {
        // A report weighs more if none has come for some time.
        const double weight = std::max(
            load_weight, 1 - std::exp(-seconds_between(called.last_done, now) /
                                      load_memory_s));
        called.load += (std::min(*load, max_load) - called.load) * weight;
    }
    called.done.add(1, now);
    if (now >= called.seen.begin)
        called.seen.done += 1;
    called.last_done = now;
    if (!std::exchange(called.is_gone, false) || !called.is_limited ||
        now < called.resumed + min_resume_interval)
        return;
    called.resumed = now;
    set_fell(called, now);
    called.rate =
        std::max(called.rate, resumed_share * called.demand.per_s(now));
}

double dependency_limiter::min_rate(const dependency& called, time_point now)
{
    constexpr double share = 0.1;
    return std::min(probe_runs_per_s * called.calls_per_run,
                    std::max(share * called.demand.per_s(now),
                             share * called.calls_per_run));
}

void dependency_limiter::refused(dependency& called, time_point now)
{
    if (now >= called.last_refused + quiet)
        called.seen = {.begin = now};
    called.last_refused = now;
    called.refused.add(1, now);
    if (now >= called.seen.begin)
        called.seen.refused += 1;
    if (now < called.last_done + reaction)
        called.full_load +=
            (std::min(1.0, called.load) - called.full_load) * full_load_weight;
    const auto& seen = called.seen;
    const double share = seen.refused / std::max(1.0, seen.done + seen.refused);
    if (!called.is_limited)
    {
        if (share < share_to_begin || seen.refused < refusals_to_begin ||
            !seen.is_enough(now))
            return;
        called.full_load = 1;
        called.tokens = 0;
        fall(called, now);
        return set_limited(called, true);
    }
    // Refusals of runs that began before it fell.
    if (now < called.fell + reaction)
        return;
    const double all = called.done.per_s(now) + called.refused.per_s(now);
    if (share > overload_refusals && seen.is_enough(now) &&
        seen.done_per_s(now) < called.rate)
        return fall(called, now);
    called.rate = std::max(
        min_rate(called, now),
        called.rate * (1 - std::min(max_decrease, decrease_per_s / all)));
    if (now > seen.begin + quiet)
        called.seen = {.begin = now};
}

bool dependency_limiter::shortage::is_enough(time_point now) const
{
    return now >= begin + min_seen &&
           (done + refused >= calls_seen || now >= begin + max_seen);
}

double dependency_limiter::shortage::done_per_s(time_point now) const
{
    return done / seconds_between(begin, now);
}

void dependency_limiter::fall(dependency& called, time_point now)
{
    called.rate = std::max(min_rate(called, now), called.seen.done_per_s(now));
    called.is_gone = called.seen.done == 0;
    set_fell(called, now);
}

void dependency_limiter::set_fell(dependency& called, time_point now)
{
    called.fell = now;
    called.seen = {.begin = now + reaction};
}

double dependency_limiter::rise_per_s(dependency& called, time_point now)
{
    // The sum of the decreases at the wanted share of refusals.
    constexpr double half = 0.5;
    constexpr double max_step = 1.5;
    const double calls = called.done.per_s(now) + called.refused.per_s(now);
    const double steady =
        target_refusals * std::min(decrease_per_s, max_decrease * calls) *
        std::min(max_step, half * called.demand.per_s(now) / called.rate) *
        (called.load > queueing_load ? queueing_step : 1);
    const bool is_load_known = now < called.last_done + 2 * reaction &&
                               now >= called.last_refused + reaction;
    const double missing = called.full_load * room_share - called.load;
    return is_load_known
               ? std::clamp(rise_by_load * missing, steady, max_rise_per_s)
               : steady;
}

void dependency_limiter::update(dependency& called, time_point now)
{
    const double passed =
        std::clamp(seconds_between(called.updated, now), 0.0, 1.0);
    called.updated = std::max(called.updated, now);
    if (!called.is_limited)
        return;
    const double demand = called.demand.per_s(now);
    const bool is_above = called.rate > demand * max_over_demand;
    if (!is_above)
        called.rate += called.rate * passed * rise_per_s(called, now);
    called.tokens =
        std::min(burst(called), called.tokens + called.rate * passed);
    if (now >= called.last_refused + end_after &&
        (is_above || now >= called.last_held + end_after))
        set_limited(called, false);
}

void dependency_limiter::set_limited(dependency& called, bool limited)
{
    called.is_limited = limited;
    m_changes.push_back({called.service, limited, called.rate});
}

std::optional<double> dependency_limiter::rate(const std::string& service) const
{
    const auto found = m_dependencies.find(service);
    return found == m_dependencies.end() || !found->second.is_limited
               ? std::nullopt
               : std::optional(found->second.rate);
}

std::vector<dependency_limit_change> dependency_limiter::take_changes()
{
    return std::exchange(m_changes, {});
}

} // namespace tillerhall
