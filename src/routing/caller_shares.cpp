#include "tillerhall/routing/caller_shares.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

using fractional_seconds = std::chrono::duration<double>;

constexpr milliseconds sweep_interval(250);
// A caller that returns to its usual load is within its share again after one
// window at the latest.
constexpr double max_windows = 2;

double window_s()
{
    return fractional_seconds(caller_shares::window).count();
}

} // namespace

double caller_shares::share(double weight) const
{
    return m_slots * weight / std::max(weight, m_weights);
}

double caller_shares::left_of(const use& of, time_point now) const
{
    const fractional_seconds passed = now - of.at;
    return std::max(0.0, of.slot_s - passed.count() * share(of.weight));
}

void caller_shares::ran(std::string_view caller,
                        double weight,
                        duration cost,
                        std::int64_t slots,
                        time_point now)
{
    m_slots = static_cast<double>(std::max<std::int64_t>(1, slots));
    if (now >= m_next_sweep)
        sweep(now);
    auto found = m_uses.find(caller);
    if (found == m_uses.end())
    {
        if (m_uses.size() >= max_callers)
            return;
        found = m_uses.emplace(caller, use{weight, 0, now}).first;
        m_weights += weight;
    }
    auto& of = found->second;
    m_weights += weight - of.weight;
    of.weight = weight;
    of.slot_s = std::min(left_of(of, now) + fractional_seconds(cost).count(),
                         max_windows * window_s() * share(weight));
    of.at = now;
}

bool caller_shares::is_within(std::string_view caller, time_point now) const
{
    const auto found = m_uses.find(caller);
    return found == m_uses.end() ||
           left_of(found->second, now) <=
               window_s() * share(found->second.weight);
}

void caller_shares::sweep(time_point now)
{
    m_next_sweep = now + sweep_interval;
    std::erase_if(m_uses, [&](const auto& each)
                  { return left_of(each.second, now) <= 0; });
    m_weights = 0;
    for (const auto& [caller, each] : m_uses)
        m_weights += each.weight;
}

} // namespace tillerhall
