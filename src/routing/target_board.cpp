#include "tillerhall/routing/target_board.hpp"

#include "tillerhall/routing/link_schedule.hpp"
#include "tillerhall/routing/target_load.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace tillerhall
{
namespace
{

// Weight of the newest call in the decaying means.
constexpr double newest_share = 0.1;
// A target with this share of failures is set aside.
constexpr double aside_share = 0.5;
// A target whose last call failed counts as failing above this share, which a
// single failure reaches for one half-life.
constexpr double failing_share = 0.25;
// Half-life of what is known of a target.
constexpr double half_life_s = 5;
constexpr double warm_up_s = 5;
// A load report is recent for this part of a mean run: within a run all slots
// of a target are reassigned. Valid for 2, 1, 0.5, 0.25 and 0.1 runs, reports
// let 17, 18, 14, 9 and 6 in 100 calls meet a full owner first.
constexpr double report_valid_runs = 0.1;
// How long a report of a full canary target counts, about a run. Other calls
// seldom go there, so no newer report replaces it.
constexpr milliseconds full_report_valid(200);
// Weight of the newest call in the share of refusals. They reflect the present
// load, so few calls are enough.
constexpr double refusal_share = 0.3;
// A failure domain whose targets all refuse or fail keeps this share of its
// weight, so that its recovery is noticed.
constexpr double min_place_share = 0.1;

// Round-trip times between domains of one region, and between regions.
constexpr double domain_distance_ms = 4;
constexpr double region_distance_ms = 40;

// Traffic between domains costs money. One kilobyte is weighted like an answer
// that is this much later.
constexpr double ms_per_kb = 10;
// Heads in both directions. Bodies are counted separately: the request's by its
// size, the answer's by the mean of its class of work, or by the default below
// if that is unknown.
constexpr double heads_kb = 1;
constexpr double unknown_answer_bytes = 1024;

// How long a report about a link is recent, about the time of one body.
constexpr milliseconds link_report_valid(100);
// While a body fills a link, all other calls to that host wait behind it, some
// 30 a second, many of them nested ones whose failure fails a run elsewhere. So
// time on the link has a higher weight.
constexpr double link_weight = 5;

constexpr double kb = 1024;

double distance_ms(const call_origin& from,
                   double answer_bytes,
                   const member_place& to)
{
    if (from.place == nullptr || from.place->domain == to.domain)
        return 0;
    const double body_bytes = static_cast<double>(from.bytes) + answer_bytes;
    const double bytes_ms = ms_per_kb * (heads_kb + body_bytes / kb);
    return bytes_ms + (from.place->region == to.region ? domain_distance_ms
                                                       : region_distance_ms);
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

bool is_candidate(const member& target, const std::vector<address>& avoid)
{
    return std::ranges::find(avoid, target.rpc) == avoid.end();
}

bool has_candidate(const place_route& place, const std::vector<address>& avoid)
{
    return std::ranges::any_of(place.targets, [&](const member_ptr& each)
                               { return is_candidate(*each, avoid); });
}

} // namespace

double target_board::effective_weight(const place_route& place,
                                      const std::vector<address>& avoid,
                                      time_point now)
{
    if (!has_candidate(place, avoid))
        return 0;
    const auto well =
        std::ranges::count_if(place.targets,
                              [&](const member_ptr& each)
                              {
                                  const auto seen =
                                      stats_of(record_of(each->rpc, now), now);
                                  return seen.recent_failures < aside_share &&
                                         seen.recent_refusals < aside_share;
                              });
    const auto share =
        static_cast<double>(well) / static_cast<double>(place.targets.size());
    return static_cast<double>(place.limits.weight) *
           std::max(min_place_share, share);
}

const place_route* target_board::choose_place(const service_route& route,
                                              const std::vector<address>& avoid,
                                              time_point now)
{
    std::vector<double> weights;
    for (const auto& each : route.places)
        weights.push_back(effective_weight(each, avoid, now));
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    double point = m_random.unit() * total;
    const place_route* chosen = nullptr;
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        if (weights[i] <= 0)
            continue;
        chosen = &route.places[i]; // the last one if rounding exceeds the sum
        point -= weights[i];
        if (point < 0)
            break;
    }
    return chosen;
}

target_board::record& target_board::record_of(const address& owner,
                                              time_point now)
{
    auto& found = m_records[owner];
    if (found.first_seen == time_point{})
        found.first_seen = now;
    return found;
}

target_stats target_board::stats_of(const record& target, time_point now) const
{
    target_stats seen;
    seen.own_in_flight = target.in_flight;
    const auto age = std::max(0.0, seconds(now - target.last_end));
    const auto fading = std::exp2(-age / half_life_s);
    seen.recent_failures = target.failures * fading;
    seen.recent_refusals = target.refusals * fading;
    const auto report_age = std::max(0.0, seconds(now - target.reported_at));
    seen.owner_load = target.load * std::exp2(-report_age / half_life_s);
    seen.latency_ms = target.latency_ms * fading;
    seen.slots = target.slots;
    seen.warmth = std::min(1.0, seconds(now - target.first_seen) / warm_up_s);
    return seen;
}

double target_board::slowness_of(const record& target, time_point now)
{
    return now < target.reported_at + target_load::slowness_valid
               ? target.slowness
               : 1;
}

link_time target_board::link_time_of(const call_origin& from,
                                     const member& to,
                                     const record& known,
                                     time_point now)
{
    const bool is_here = from.node != nullptr && *from.node == to.rpc;
    if (is_here || to.link_mbps == 0)
        return {};
    constexpr double bits = 8;
    constexpr double bits_per_ms_and_mbps = 1000;
    const double ms_per_byte = bits / (bits_per_ms_and_mbps * to.link_mbps);
    const bool asked = now < known.asked + link_report_valid;
    const double ahead = asked ? known.incoming_bytes : 0;
    const double waits = asked ? known.round_trip_ms : 0;
    return {waits + ahead * ms_per_byte,
            static_cast<double>(from.bytes) * ms_per_byte};
}

double target_board::answer_link_ms(const member& to,
                                    const record& known,
                                    double bytes,
                                    time_point now)
{
    if (to.link_mbps == 0 || bytes < link_schedule::large_bytes)
        return 0;
    // The link has sent some of the backlog since the report.
    const double left =
        seconds(known.reported_at + known.link_backlog - now) * 1000;
    const double own = to_ms(
        link_schedule(to.link_mbps).time_of(static_cast<std::uint64_t>(bytes)));
    return std::max(0.0, left) + own;
}

link_time target_board::time_on_link(const member& to,
                                     const call_origin& from,
                                     time_point now)
{
    const std::lock_guard lock(m_mutex);
    return link_time_of(from, to, record_of(to.rpc, now), now);
}

std::optional<chosen_target>
target_board::choose(const route_view& routes,
                     const std::string& service,
                     const std::vector<address>& tried,
                     time_point now)
{
    const auto* route = routes.find(service);
    if (route == nullptr)
        return std::nullopt;
    const std::lock_guard lock(m_mutex);
    auto avoid = tried;
    add_paused(*route, now, avoid);
    const auto* place = choose_place(*route, avoid, now);
    if (place == nullptr)
        return std::nullopt;
    std::vector<member_ptr> left;
    std::ranges::copy_if(place->targets, std::back_inserter(left),
                         [&](const member_ptr& each)
                         { return is_candidate(*each, avoid); });
    return chosen_target{pick(left, {}, now), place->limits};
}

void target_board::add_paused(const service_route& route,
                              time_point now,
                              std::vector<address>& avoid) const
{
    for (const auto& place : route.places)
        for (const auto& each : place.targets)
            if (const auto known = m_records.find(each->rpc);
                known != m_records.end() && now < known->second.paused_until)
                avoid.push_back(each->rpc);
}

duration target_board::pause_left(const route_view& routes,
                                  const std::string& service,
                                  time_point now)
{
    const auto* route = routes.find(service);
    if (route == nullptr)
        return duration::zero();
    const std::lock_guard lock(m_mutex);
    std::vector<address> paused;
    add_paused(*route, now, paused);
    if (paused.empty())
        return duration::zero();
    const auto ends = paused | std::views::transform(
                                   [&](const address& each)
                                   { return m_records[each].paused_until; });
    return std::ranges::min(ends) - now;
}

member_ptr target_board::choose_among(const std::vector<member_ptr>& candidates,
                                      const std::vector<address>& avoid,
                                      const call_origin& from,
                                      time_point now)
{
    std::vector<member_ptr> left;
    std::ranges::copy_if(candidates, std::back_inserter(left),
                         [&](const member_ptr& each)
                         { return is_candidate(*each, avoid); });
    if (left.empty())
        return nullptr;
    const std::lock_guard lock(m_mutex);
    return pick(left, from, now);
}

member_ptr target_board::pick(const std::vector<member_ptr>& left,
                              const call_origin& from,
                              time_point now)
{
    const double answer = m_answers.of(from.work, unknown_answer_bytes);
    std::vector<target_stats> stats;
    for (const auto& each : left)
    {
        const auto& known = record_of(each->rpc, now);
        stats.push_back(stats_of(known, now));
        if (const auto run = known.run_ms.find(from.work);
            run != known.run_ms.end())
            stats.back().run_ms = run->second * slowness_of(known, now);
        stats.back().distance_ms =
            distance_ms(from, answer, each->place) +
            link_weight * link_time_of(from, *each, known, now).total_ms() +
            answer_link_ms(*each, known, answer, now);
    }
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < left.size(); ++i)
        if (stats[i].recent_failures < aside_share)
            usable.push_back(i);
    // If most targets seem bad, this node may be the cause: use all.
    if (usable.size() * 2 < left.size())
    {
        usable.resize(left.size());
        std::iota(usable.begin(), usable.end(), std::size_t{0});
    }
    std::vector<target_stats> offered;
    for (const auto i : usable)
        offered.push_back(stats[i]);
    const auto picked = m_policy.choose(offered, m_choices++, m_random);
    return left[usable[picked]];
}

bool target_board::has_room(const route_view& routes,
                            const std::string& service,
                            const std::vector<address>& avoid,
                            time_point now)
{
    const auto* route = routes.find(service);
    if (route == nullptr)
        return false;
    const std::lock_guard lock(m_mutex);
    const auto free = [&](const member_ptr& each)
    {
        return is_candidate(*each, avoid) &&
               stats_of(record_of(each->rpc, now), now).owner_load < 1;
    };
    return std::ranges::any_of(route->places,
                               [&](const place_route& each) {
                                   return each.limits.weight > 0 &&
                                          std::ranges::any_of(each.targets,
                                                              free);
                               });
}

void target_board::started(const address& owner)
{
    const std::lock_guard lock(m_mutex);
    ++m_records[owner].in_flight;
}

void target_board::ended(const address& owner,
                         const ended_call& call,
                         time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto& target = record_of(owner, now);
    if (target.in_flight > 0)
        --target.in_flight;
    // Of several refusals the one with the soonest time holds.
    if (call.pause > duration::zero())
        target.paused_until =
            now < target.paused_until
                ? std::min<time_point>(target.paused_until, now + call.pause)
                : now + call.pause;
    if (call.outcome == target_call_outcome::unknown)
        return;
    if (call.outcome == target_call_outcome::refused_with_room)
        return take_report(target, call.report, now);
    const double failed = call.outcome == target_call_outcome::failed ? 1 : 0;
    target.has_failed_last = call.outcome == target_call_outcome::failed;
    target.failures += (failed - target.failures) * newest_share;
    const double refused = call.outcome == target_call_outcome::refused ? 1 : 0;
    target.refusals += (refused - target.refusals) * refusal_share;
    if (call.outcome == target_call_outcome::failed)
        target.failures = std::max(target.failures, aside_share);
    if (call.answer_bytes > 0)
        m_answers.answered(call.work, call.answer_bytes);
    if (call.outcome == target_call_outcome::good)
        target.latency_ms +=
            (seconds(call.took) * 1000 - target.latency_ms) * newest_share;
    take_report(target, call.report, now);
    if (call.report.run_ms > 0)
        target.run_ms[call.work] = call.report.run_ms;
    if (!call.report.load && call.outcome == target_call_outcome::refused)
    {
        target.load = std::max(target.load, 1.0);
        target.reported_at = now;
    }
    target.last_end = now;
}

void target_board::take_report(record& target,
                               const load_report& report,
                               time_point now)
{
    if (report.slots > 0)
        target.slots = report.slots;
    if (!report.load)
        return;
    target.load = *report.load;
    target.slowness = report.slowness;
    target.link_backlog = report.link_backlog;
    target.reported_at = now;
}

owner_estimate target_board::estimate(const member& owner,
                                      const call_origin& from,
                                      time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto& known = record_of(owner.rpc, now);
    owner_estimate seen;
    seen.is_near = from.place != nullptr && *from.place == owner.place;
    const auto run = known.run_ms.find(from.work);
    const double run_ms = run == known.run_ms.end() ? 0 : run->second;
    const double age_ms = seconds(now - known.reported_at) * 1000;
    seen.is_known = age_ms < report_valid_runs * run_ms;
    seen.has_room = has_free_slot(known);
    return seen;
}

bool target_board::has_free_slot(const record& target)
{
    const double own = target.slots > 0 ? target.in_flight / target.slots : 0;
    return std::max(target.load, own) < 1 && target.failures < aside_share;
}

bool target_board::has_room(const address& owner)
{
    const std::lock_guard lock(m_mutex);
    return has_free_slot(m_records[owner]);
}

bool target_board::seems_full(const address& owner, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto& known = m_records[owner];
    return now < known.reported_at + full_report_valid && !has_free_slot(known);
}

bool target_board::is_failing(const address& owner, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto& known = m_records[owner];
    return known.has_failed_last &&
           stats_of(known, now).recent_failures >= failing_share;
}

double target_board::answer_bytes(const work_class& work)
{
    const std::lock_guard lock(m_mutex);
    return m_answers.of(work, 0);
}

void target_board::record_report(const address& owner,
                                 const load_report& report,
                                 duration round_trip,
                                 time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto& target = record_of(owner, now);
    take_report(target, report, now);
    // It has free slots again, whatever it refused before.
    if (report.load && *report.load < 1)
        target.refusals = 0;
    target.round_trip_ms = seconds(round_trip) * 1000;
    target.incoming_bytes = static_cast<double>(report.incoming_bytes);
    target.asked = now;
}

void target_board::count_call(const std::string& service, std::int64_t percent)
{
    const std::lock_guard lock(m_mutex);
    m_budgets[service].call(static_cast<double>(percent));
}

bool target_board::take_retry(const std::string& service)
{
    const std::lock_guard lock(m_mutex);
    return m_budgets[service].take();
}

} // namespace tillerhall
