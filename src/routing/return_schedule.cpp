#include "tillerhall/routing/return_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace tillerhall
{
namespace
{

using seconds_f = std::chrono::duration<double>;

// Time constant of the rates of starts; some runs of the routes with the
// longest runs.
constexpr double rate_window_s = 0.5;
// Weight of the newest booking in the share that is kept.
constexpr double kept_weight = 1.0 / 64;
// The fractional parts of its multiples are spread evenly.
constexpr double golden_ratio = 0.6180339887498949;
// While no run has ended its time is unknown.
constexpr milliseconds min_run{1};

std::uint64_t queue_place(std::uint32_t rank, bool nested)
{
    return std::uint64_t{2} * rank + (nested ? 0 : 1);
}

/** @return the longest wait that a caller with @p left keeps. */
duration longest_wait(duration left)
{
    return std::max<duration>(left - return_schedule::answer_delay,
                              duration::zero()) /
           return_schedule::wait_divisor;
}

/** @return the longest wait that is booked. */
duration longest_booked(duration left)
{
    return std::chrono::duration_cast<duration>(longest_wait(left) *
                                                return_schedule::bookable_part);
}

/** @return the shortest wait that is told without a booking. Halfway to the
 * longest, so that the ways of call and answer do not blur the difference. */
duration shortest_unbooked(duration left)
{
    return (longest_booked(left) + longest_wait(left)) / 2;
}

} // namespace

double return_schedule::decaying_rate::at(time_point now) const
{
    const seconds_f age = std::max(now - updated_at, duration::zero());
    return per_s * std::exp(-age.count() / rate_window_s);
}

void return_schedule::started(std::uint32_t rank, bool nested, time_point now)
{
    auto& rate = m_starts[queue_place(rank, nested)];
    rate = {rate.at(now) + 1 / rate_window_s, now};
}

double return_schedule::usable_per_s(std::uint32_t rank,
                                     double freed_per_s,
                                     time_point now)
{
    // A rate that has decayed to less than one start is of a rank not in use.
    std::erase_if(m_starts, [&](const auto& each)
                  { return each.second.at(now) < 1 / rate_window_s / 100; });
    double before = 0;
    const auto own = m_starts.lower_bound(queue_place(rank, false));
    for (auto each = m_starts.begin(); each != own; ++each)
        before += each->second.at(now);
    return std::max(freed_per_s * min_part, freed_per_s - before);
}

void return_schedule::count_outcome(bool is_kept)
{
    m_kept += ((is_kept ? 1 : 0) - m_kept) * kept_weight;
}

void return_schedule::expire(time_point now)
{
    const auto lost = std::ranges::find_if(m_bookings, [&](const booking& each)
                                           { return each.due + expiry > now; });
    for (auto each = m_bookings.begin(); each != lost; ++each)
        count_outcome(false);
    m_bookings.erase(m_bookings.begin(), lost);
}

std::size_t return_schedule::booked(time_point now)
{
    expire(now);
    return m_bookings.size();
}

duration return_schedule::unbooked(const slotless_call& call)
{
    const auto longest = longest_wait(call.left);
    const auto shortest =
        std::clamp(call.in_time, shortest_unbooked(call.left), longest);
    const double point = std::fmod(golden_ratio * ++m_unbooked, 1.0);
    return shortest +
           std::chrono::duration_cast<duration>((longest - shortest) * point);
}

bool return_schedule::is_unbooked(duration left, duration elapsed)
{
    return elapsed > shortest_unbooked(left + elapsed);
}

return_time return_schedule::book(const slotless_call& call,
                                  const slot_supply& supply,
                                  time_point now)
{
    expire(now);
    const seconds_f run = std::max<duration>(supply.mean_run, min_run);
    const double freed_per_s =
        static_cast<double>(std::max<std::int64_t>(1, supply.slots)) /
        run.count();
    const seconds_f spacing(
        std::max(m_kept, min_kept) /
        (booked_part * usable_per_s(call.rank, freed_per_s, now)));
    const auto interval = std::chrono::duration_cast<duration>(spacing);
    auto due = now + std::max(call.earliest, supply.free_after);
    const auto latest =
        now + std::min(longest_booked(call.left), call.in_time - call.max_wait);
    // The first gap between the returns of this rank and of more urgent ones.
    for (const auto& each : m_bookings)
    {
        if (each.rank > call.rank)
            continue;
        if (due + interval <= each.due)
            break;
        due = std::max(due, each.due + interval);
    }
    if (due > latest || m_bookings.size() >= max_bookings)
        return {unbooked(call), false};
    const auto behind = std::ranges::upper_bound(
        m_bookings, due, {}, [](const booking& each) { return each.due; });
    m_bookings.insert(behind, {due, now, call.rank});
    return {due - now, true};
}

bool return_schedule::returned(std::uint32_t rank,
                               duration elapsed,
                               time_point now)
{
    expire(now);
    const auto first_try = now - elapsed;
    const auto distance = [now](const booking& each)
    { return std::chrono::abs(each.due - now); };
    auto nearest = m_bookings.end();
    for (auto each = m_bookings.begin(); each != m_bookings.end(); ++each)
        if (each->rank == rank &&
            std::chrono::abs(each->made_at - first_try) <= match_tolerance &&
            (nearest == m_bookings.end() ||
             distance(*each) < distance(*nearest)))
            nearest = each;
    if (nearest == m_bookings.end())
        return false;
    m_bookings.erase(nearest);
    count_outcome(true);
    return true;
}

} // namespace tillerhall
