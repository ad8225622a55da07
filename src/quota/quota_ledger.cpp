#include "tillerhall/quota/quota_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace tillerhall
{
namespace
{

// Time within which a bucket below zero is to reach zero.
constexpr double repayment_s = 1;
// Delay between an admitted call and the effect of its count.
constexpr double report_delay_s = 0.5;
// Time constant of the decaying mean rates.
constexpr double rate_window_s = 0.7;
// Initial level of a new ledger's buckets, in seconds of the rate: earlier
// counts are not known.
constexpr double initial_tokens_s = 1;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration seconds_of(double count)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(count));
}

} // namespace

double quota_ledger::rate_of(const bucket& state) const noexcept
{
    return state.quota.per_s *
           (1 + m_overage.share * quota_overage::ledger_part);
}

double quota_ledger::capacity_of(const bucket& state) const noexcept
{
    return state.quota.burst *
               (1 + m_overage.share * quota_overage::ledger_part) +
           m_overage.calls * quota_overage::ledger_part;
}

quota_ledger::bucket quota_ledger::advanced_to(const bucket& state,
                                               time_point now) const
{
    auto advanced = state;
    const double elapsed_s = std::max(0.0, seconds(now - state.updated_at));
    advanced.level =
        std::min(capacity_of(state), state.level + elapsed_s * rate_of(state));
    advanced.requested_per_s *= std::exp(-elapsed_s / rate_window_s);
    advanced.admitted_per_s *= std::exp(-elapsed_s / rate_window_s);
    advanced.updated_at = std::max(state.updated_at, now);
    return advanced;
}

void quota_ledger::set_accounts(const std::vector<client_account>& accounts,
                                time_point now)
{
    std::map<std::string, bucket> kept;
    for (const auto& each : accounts)
    {
        if (!each.quota.is_limited())
            continue;
        auto& next = kept[each.name];
        const auto known = m_buckets.find(each.name);
        if (known != m_buckets.end())
            next = advanced_to(known->second, now);
        next.quota = each.quota;
        next.updated_at = now;
        next.level =
            known != m_buckets.end()
                ? std::min(next.level, capacity_of(next))
                : std::min(capacity_of(next),
                           rate_of(next) * initial_tokens_s +
                               m_overage.calls * quota_overage::ledger_part);
    }
    m_buckets = std::move(kept);
}

void quota_ledger::add(const std::vector<quota_counts>& counts, time_point now)
{
    for (const auto& each : counts)
    {
        const auto found = m_buckets.find(each.account);
        if (found == m_buckets.end())
            continue;
        auto& state = found->second;
        state = advanced_to(state, now);
        state.level -= static_cast<double>(each.admitted);
        state.requested_per_s +=
            static_cast<double>(each.asked) / rate_window_s;
        state.admitted_per_s +=
            static_cast<double>(each.admitted) / rate_window_s;
        if (each.level)
            state.level = std::min(state.level, *each.level);
        state.level = std::min(state.level, capacity_of(state));
    }
}

double quota_ledger::admitted_share(double rate, const bucket& state)
{
    if (state.requested_per_s <= 0)
        return 1;
    // Calls admitted beyond the rate until the next counts arrive are taken off
    // in advance.
    const double unreported =
        std::max(0.0, state.admitted_per_s - rate) * report_delay_s;
    const double admissible_per_s =
        rate + (state.level - unreported) / repayment_s;
    return std::clamp(admissible_per_s / state.requested_per_s, 0.0, 1.0);
}

std::vector<quota_limit> quota_ledger::limits(time_point now) const
{
    std::vector<quota_limit> list;
    for (const auto& [name, stored] : m_buckets)
    {
        const auto state = advanced_to(stored, now);
        const double rate = rate_of(state);
        const double admitted = admitted_share(rate, state);
        if (admitted < 1)
            list.push_back({name, admitted,
                            seconds_of(std::max(0.0, -state.level) / rate),
                            std::max(1.0, state.requested_per_s / rate)});
    }
    return list;
}

std::optional<double> quota_ledger::level(const std::string& account,
                                          time_point now) const
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return std::nullopt;
    return advanced_to(found->second, now).level;
}

} // namespace tillerhall
