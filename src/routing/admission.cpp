#include "tillerhall/routing/admission.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>

namespace tillerhall
{
namespace
{

constexpr std::array<std::string_view, 5> decision_names{
    "run", "wait", "rate_exceeded", "queue_full", "deadline_too_near"};

// The newest run time has a weight of 1 / mean_runs in the mean: runs vary by
// about their mean, so 32 of them give the mean to about an eighth.
constexpr int mean_runs = 32;
constexpr double min_burst = 1;
// One grant in this many goes out of turn to a less urgent rank that needs it.
constexpr unsigned less_urgent_every = 5;
// The rate limit's burst, as seconds of its rate.
constexpr double burst_seconds = 0.1;
// A call that is granted at the end of its wait learns of it within this time.
constexpr milliseconds grant_delay(5);
// A slot may become free just before the pace allows the next call.
constexpr milliseconds grant_interval(5);
// Longest wait of calls whose rank is served more often than a more urgent one,
// as a fraction of their short wait.
constexpr int wait_of_ahead = 4;
// Ranks come from the configuration and are few. More than these are
// forgotten, so that memory stays bounded.
constexpr std::size_t max_standing = 256;

token_bucket make_bucket(double per_second)
{
    return {per_second, std::max(min_burst, per_second * burst_seconds)};
}

} // namespace

std::string_view name_of(admission_decision decision) noexcept
{
    return decision_names[static_cast<std::size_t>(decision)];
}

admission::admission(admission_limits limits)
    : m_limits(limits)
    , m_rate(make_bucket(limits.rate_per_s))
{
}

void admission::set_limits(const admission_limits& limits)
{
    if (limits.rate_per_s != m_limits.rate_per_s)
        m_rate = make_bucket(limits.rate_per_s);
    m_limits = limits;
}

duration admission::run_or_mean(duration run) const noexcept
{
    return run > duration::zero() ? run : mean_run();
}

bool admission::can_finish(time_point now,
                           time_point deadline,
                           duration run) const noexcept
{
    return now + run_or_mean(run) < deadline;
}

template <class Call>
void admission::count_use(const Call& call, time_point now)
{
    if (!call.nested)
        m_shares.ran(call.caller, call.weight, run_or_mean(call.run),
                     m_limits.in_flight, now);
}

template <class Call>
queued_call admission::place_of(const Call& call) const
{
    return {.caller = call.caller,
            .weight = call.weight,
            .within_share =
                call.nested || m_shares.is_within(call.caller, m_now),
            .due = call.due,
            .cost = run_or_mean(call.run)};
}

admission_waiter* admission::evictable_for(const arriving_call& call)
{
    // The least urgent give way first, nested calls never.
    for (auto& [rank, queue] : std::views::reverse(m_ranks))
    {
        if (rank < call.rank)
            break;
        auto* last = queue.evictable_for(rank > call.rank ? nullptr : &call,
                                         place_of(call));
        if (last != nullptr)
            return last;
    }
    return nullptr;
}

standing_queue& admission::queue_of(const arriving_call& call, time_point now)
{
    auto kind = queue_class::nested;
    if (!call.nested)
        kind = m_shares.is_within(call.caller, now) ? queue_class::within_share
                                                    : queue_class::beyond_share;
    if (m_standing.size() >= max_standing)
        m_standing.clear();
    return m_standing[{call.rank, kind}];
}

bool admission::waited_too_long(time_point now,
                                const admission_waiter& waiter) const noexcept
{
    return !waiter.nested && !waiter.late && waiter.due != time_point{} &&
           now + run_or_mean(waiter.run) > waiter.due;
}

admission_decision admission::arrive(time_point now, const arriving_call& call)
{
    m_now = now;
    m_rank_shares.arrived(call.rank, now);
    if (!can_finish(now, call.deadline, call.run))
        return admission_decision::deadline_too_near;
    if (m_limits.rate_per_s > 0 && !m_rate.take(now))
        return admission_decision::rate_exceeded;
    const auto paced = pace_wait(call, now);
    const auto expected = expected_wait(call);
    auto longest = queue_of(call, now).limit(now, std::max(expected, paced),
                                             call.short_wait, call.max_wait);
    // The urgent calls make the wait of such a rank long; its own queue is
    // bounded by the slots that it gets out of turn.
    if (is_served_out_of_turn(call))
        longest = call.max_wait;
    // Slots that become free go to the more urgent rank that is behind.
    if (!call.nested && m_rank_shares.is_ahead(call.rank))
        longest = std::min(longest, call.short_wait / wait_of_ahead);
    if (m_in_flight < m_limits.in_flight && m_waiting == 0 &&
        paced == duration::zero())
    {
        start_one(now);
        count_use(call, now);
        m_rank_shares.served(call.rank, now);
        return admission_decision::run;
    }
    if ((m_waiting >= m_limits.queue && evictable_for(call) == nullptr) ||
        m_limits.queue_wait <= duration::zero() || expected > longest)
        return admission_decision::queue_full;
    if (paced > std::min(longest, m_limits.queue_wait) ||
        !can_finish(now + paced, call.deadline, call.run))
        return admission_decision::rate_exceeded;
    if (m_waiting >= m_limits.queue)
    {
        auto* last = evictable_for(call);
        remove(*last);
        last->evicted = true;
        last->wake();
    }
    return admission_decision::wait;
}

void admission::set_pace(std::optional<double> per_s, time_point now)
{
    m_pacer.set_rate(per_s, now);
    grant_free_slots(now);
}

duration admission::pace_wait(const arriving_call& call, time_point now) const
{
    if (!m_pacer.is_limited())
        return duration::zero();
    const auto ahead = ahead_of(call).calls;
    return m_pacer.wait(static_cast<std::size_t>(std::lround(ahead)), now);
}

duration admission::book_return(time_point now)
{
    return m_pacer.book_return(static_cast<std::size_t>(m_waiting), now);
}

void admission::start_one(time_point now)
{
    m_pacer.sent(now);
    ++m_in_flight;
    m_peak_in_flight = std::max(m_peak_in_flight, m_in_flight);
}

time_point admission::give_up_at(time_point now,
                                 const arriving_call& call) const
{
    auto wait = m_limits.queue_wait;
    if (m_pacer.is_limited() && call.max_wait < wait)
        wait = call.max_wait + grant_delay;
    // A call that can no longer finish must not wait on.
    return std::min(call.deadline - run_or_mean(call.run), now + wait);
}

void admission::enqueue(admission_waiter& waiter)
{
    const auto place = place_of(waiter);
    waiter.within_share = place.within_share;
    m_ranks[waiter.rank].of(waiter).push(waiter, place.cost);
    ++m_waiting;
}

void admission::remove(admission_waiter& waiter)
{
    const auto found = m_ranks.find(waiter.rank);
    found->second.of(waiter).remove(waiter);
    if (found->second.waiting() == 0)
        m_ranks.erase(found);
    --m_waiting;
}

bool admission::give_up(admission_waiter& waiter)
{
    if (waiter.granted || !waiter.is_linked())
        return false;
    remove(waiter);
    return true;
}

std::size_t admission::callers() const
{
    std::size_t callers = m_shares.callers();
    for (const auto& [rank, queue] : m_ranks)
        callers += queue.callers();
    return callers;
}

void admission::leave(time_point now, duration took)
{
    --m_in_flight;
    // The first runs have equal weights: a mean that grows from zero would make
    // a target that has just started seem the fastest.
    m_runs_counted = std::min(m_runs_counted + 1, mean_runs);
    const auto usual = std::chrono::duration_cast<duration>(took / m_slowness);
    m_mean_run += (usual - m_mean_run) / m_runs_counted;
    grant_free_slots(now);
}

void admission::grant_free_slots(time_point now)
{
    while (m_in_flight < m_limits.in_flight && m_waiting > 0 &&
           m_pacer.wait(now) == duration::zero())
    {
        auto* next = next_waiter(now);
        if (m_waiting > 0 && waited_too_long(now, *next))
        {
            next->evicted = true;
            --m_grants; // no slot was granted
        }
        else if (can_finish(now, next->deadline, next->run))
        {
            next->granted = true;
            start_one(now);
            count_use(*next, now);
            m_rank_shares.served(next->rank, now);
        }
        else
            next->expired = true;
        next->wake();
    }
}

time_point admission::next_grant(time_point now) const
{
    if (!m_pacer.is_limited())
        return time_point::max();
    return now + std::max<duration>(m_pacer.wait(now), grant_interval);
}

admission::rank_queues::iterator admission::next_rank(time_point now)
{
    const auto first = m_ranks.begin();
    if (++m_grants % less_urgent_every != 0)
        return first;
    auto found = first;
    for (auto each = std::next(first); each != m_ranks.end(); ++each)
    {
        if (!m_rank_shares.needs_slots(each->first) ||
            !each->second.can_be_in_time(now))
            continue;
        if (found == first || each->first > m_last_out_of_turn)
            found = each;
        if (each->first > m_last_out_of_turn)
            break;
    }
    if (found != first)
        m_last_out_of_turn = found->first;
    return found;
}

time_point admission::soon(time_point now) const
{
    return now + mean_run() / std::max<std::int64_t>(1, m_limits.in_flight);
}

admission_waiter* admission::next_waiter(time_point now)
{
    const auto rank = next_rank(now);
    auto* next = rank->second.pop(soon(now));
    --m_waiting;
    while (waited_too_long(now, *next) && rank->second.waiting() > 0)
    {
        next->evicted = true;
        next->wake();
        next = rank->second.pop(soon(now));
        --m_waiting;
    }
    if (rank->second.waiting() == 0)
        m_ranks.erase(rank);
    return next;
}

bool admission::is_served_out_of_turn(const arriving_call& call) const
{
    return !call.late && !m_ranks.empty() &&
           m_ranks.begin()->first < call.rank &&
           m_rank_shares.needs_slots(call.rank);
}

calls_ahead admission::ahead_of(const arriving_call& call) const
{
    calls_ahead ahead;
    for (const auto& [rank, queue] : m_ranks)
    {
        if (rank > call.rank)
            break;
        ahead += rank < call.rank ? queue.all()
                                  : queue.ahead_of(call, place_of(call));
    }
    return ahead;
}

duration admission::expected_wait(const arriving_call& call) const
{
    if (m_in_flight < m_limits.in_flight && m_waiting == 0)
        return duration::zero();
    auto ahead = ahead_of(call).runs;
    if (is_served_out_of_turn(call))
    {
        // Out of turn its rank gets one slot in five at most.
        const auto own = m_ranks.find(call.rank);
        auto of_rank = mean_run();
        if (own != m_ranks.end())
            of_rank += own->second.ahead_of(call, place_of(call)).runs;
        ahead = std::min(ahead, of_rank * less_urgent_every);
    }
    // If all slots are taken one becomes free every mean run time / slots.
    return (mean_run() + ahead) / std::max<std::int64_t>(1, m_limits.in_flight);
}

std::size_t admission::rank_queue::waiting() const
{
    std::size_t waiting = 0;
    for (const auto& each : m_queues)
        waiting += each.waiting();
    return waiting;
}

std::size_t admission::rank_queue::callers() const
{
    std::size_t callers = 0;
    for (const auto& each : m_queues)
        callers += each.callers();
    return callers;
}

calls_ahead admission::rank_queue::all() const
{
    calls_ahead sum;
    for (const auto& each : m_queues)
        sum += each.all();
    return sum;
}

calls_ahead admission::rank_queue::ahead_of(const arriving_call& call,
                                            const queued_call& place) const
{
    const auto own = index_of(call);
    auto ahead = m_queues[own].ahead_of(place);
    for (std::size_t each = 0; each < own; ++each)
        ahead += m_queues[each].all();
    return ahead;
}

admission_waiter* admission::rank_queue::pop(time_point soon)
{
    const auto next = std::ranges::find_if(m_queues, [](const auto& each)
                                           { return each.waiting() > 0; });
    return next == m_queues.end() ? nullptr : next->pop(soon);
}

bool admission::rank_queue::can_be_in_time(time_point now) const
{
    return std::any_of(m_queues.begin(), m_queues.begin() + late_calls,
                       [now](const auto& each)
                       { return each.can_be_in_time(now); });
}

admission_waiter*
admission::rank_queue::evictable_for(const arriving_call* call,
                                     const queued_call& place)
{
    const auto own = call == nullptr ? 0 : index_of(*call);
    for (auto each = late_calls; each >= std::max(own + 1, first_not_nested);
         --each)
        if (auto* last = m_queues[each].last_of_most())
            return last;
    return own < first_not_nested ? nullptr : m_queues[own].surplus(place);
}

bool admission::stands(time_point now) const
{
    return std::ranges::any_of(m_standing, [now](const auto& each)
                               { return each.second.stands(now); });
}

double admission::load(time_point now) const
{
    const double of_slots =
        static_cast<double>(m_in_flight + m_waiting) /
        static_cast<double>(std::max<std::int64_t>(1, m_limits.in_flight));
    return std::max(of_slots, m_pacer.used(now));
}

duration admission::retry_after() const noexcept
{
    const auto slots = std::max<std::int64_t>(1, m_limits.in_flight);
    const auto ahead = m_in_flight + m_waiting + 1;
    return std::max<duration>(milliseconds(1), mean_run() * ahead / slots);
}

} // namespace tillerhall
