#include "tillerhall/routing/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tillerhall
{
namespace
{

// A run without a known time still takes part of a turn.
constexpr duration min_cost = std::chrono::microseconds(1);

duration scaled(duration time, double factor) noexcept
{
    return duration(static_cast<duration::rep>(
        std::llround(static_cast<double>(time.count()) * factor)));
}

double ratio(duration of, duration to) noexcept
{
    return static_cast<double>(of.count()) / static_cast<double>(to.count());
}

double bounded(double weight) noexcept
{
    return std::clamp(weight, fair_queue::min_weight, fair_queue::max_weight);
}

} // namespace

duration fair_queue::turn(double weight) const noexcept
{
    const auto calls = static_cast<duration::rep>(m_waiting);
    const auto mean = m_queued / std::max<duration::rep>(1, calls);
    return std::max(min_cost, scaled(mean, weight));
}

void fair_queue::push(admission_waiter& waiter, duration cost)
{
    waiter.cost = std::max(cost, min_cost);
    auto& of = m_flows[waiter.caller];
    of.weight = bounded(waiter.weight);
    if (!of.is_linked() || of.within_share != waiter.within_share)
    {
        of.unlink();
        of.caller = m_flows.find(waiter.caller)->first;
        of.within_share = waiter.within_share;
        ring_of(of).push_back(of);
    }
    const auto behind =
        std::ranges::find_if(of.calls, [&](const admission_waiter& each)
                             { return each.due > waiter.due; });
    of.calls.insert(behind, waiter);
    ++of.waiting;
    of.queued += waiter.cost;
    ++m_waiting;
    m_queued += waiter.cost;
}

void fair_queue::removed(flow& from, const admission_waiter& waiter)
{
    --from.waiting;
    from.queued -= waiter.cost;
    --m_waiting;
    m_queued -= waiter.cost;
    if (from.waiting == 0)
        m_flows.erase(m_flows.find(from.caller));
}

void fair_queue::remove(admission_waiter& waiter)
{
    waiter.unlink();
    removed(m_flows.find(waiter.caller)->second, waiter);
}

admission_waiter& fair_queue::next_of(flow& of, time_point soon)
{
    auto& first = of.calls.front();
    if (first.due - first.cost < soon)
        return first;
    const auto returned = std::ranges::find_if(
        of.calls, [](const admission_waiter& each) { return each.returned; });
    return returned == of.calls.end() ? first : *returned;
}

bool fair_queue::can_be_in_time(time_point now) const
{
    const auto in_time = [now](const admission_waiter& each)
    { return now + each.cost <= each.due; };
    return std::ranges::any_of(
        m_flows, [&](const auto& of)
        { return std::ranges::any_of(of.second.calls, in_time); });
}

admission_waiter* fair_queue::pop(time_point soon)
{
    if (m_waiting == 0)
        return nullptr;
    auto& from = next_flow();
    auto& next = next_of(from, soon);
    next.unlink();
    from.credit -= next.cost;
    if (from.credit <= duration::zero())
        end_turn(from);
    removed(from, next);
    return &next;
}

fair_queue::flow& fair_queue::next_flow()
{
    auto& ring = m_within_share.empty() ? m_beyond_share : m_within_share;
    for (std::size_t turns = 0; ring.front().credit <= duration::zero();)
    {
        if (turns++ == m_flows.size())
            skip_empty_rounds(ring);
        auto& of = ring.front();
        of.credit += turn(of.weight);
        if (of.credit > duration::zero())
            break;
        end_turn(of);
    }
    return ring.front();
}

void fair_queue::end_turn(flow& of)
{
    of.unlink();
    ring_of(of).push_back(of);
}

void fair_queue::skip_empty_rounds(flows& ring)
{
    double rounds = std::numeric_limits<double>::max();
    for (const auto& each : ring)
        rounds = std::min(rounds,
                          std::floor(ratio(-each.credit, turn(each.weight))));
    for (auto& each : ring)
        each.credit += scaled(turn(each.weight), rounds);
}

calls_ahead fair_queue::ahead_of(const queued_call& call) const
{
    calls_ahead ahead;
    const auto own = m_flows.find(call.caller);
    auto needed = std::max(call.cost, min_cost);
    if (own != m_flows.end())
    {
        for (const auto& each : own->second.calls)
            if (each.due <= call.due)
                ahead += {1, each.cost};
        needed -= own->second.credit;
    }
    // Until this call's turn each other caller runs as much as its own caller
    // by their weights.
    needed = std::max(duration::zero(), needed + ahead.runs);
    for (const auto& [caller, each] : m_flows)
    {
        if (caller == call.caller || (call.within_share && !each.within_share))
            continue;
        const bool all_first = each.within_share && !call.within_share;
        const auto runs = scaled(needed, each.weight / bounded(call.weight));
        const double part =
            all_first ? 1 : std::min(1.0, ratio(runs, each.queued));
        ahead += {part * static_cast<double>(each.waiting),
                  scaled(each.queued, part)};
    }
    return ahead;
}

fair_queue::flow* fair_queue::holder_of_most()
{
    const auto most = std::ranges::max_element(
        m_flows, {},
        [](const auto& each)
        { return scaled(each.second.queued, 1 / each.second.weight); });
    return m_waiting == 0 ? nullptr : &most->second;
}

admission_waiter* fair_queue::last_of_most()
{
    auto* most = holder_of_most();
    return most == nullptr ? nullptr : &most->calls.back();
}

admission_waiter* fair_queue::surplus(const queued_call& call)
{
    auto* most = holder_of_most();
    if (most == nullptr || most->caller == call.caller)
        return nullptr;
    const auto own = m_flows.find(call.caller);
    const auto held = own == m_flows.end() ? duration{} : own->second.queued;
    const auto wanted =
        scaled(held + std::max(call.cost, min_cost), 1 / bounded(call.weight));
    return scaled(most->queued, 1 / most->weight) > wanted ? &most->calls.back()
                                                           : nullptr;
}

} // namespace tillerhall
