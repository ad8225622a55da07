#include "tillerhall/quota/quota_gate.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

constexpr milliseconds min_retry_after(200);
// Clients don't retry later than their call's time.
constexpr std::chrono::seconds max_retry_after(5);

} // namespace

bool quota_gate::is_cut_off(time_point now) const
{
    return m_unanswered_since && now >= *m_unanswered_since + ledger_timeout;
}

std::optional<duration> quota_gate::admit(const client_account& account,
                                          std::size_t nodes,
                                          time_point now)
{
    if (!account.quota.is_limited())
        return std::nullopt;
    auto& counts = m_counts[account.name];
    counts.account = account.name;
    ++counts.asked;
    if (is_cut_off(now))
    {
        const auto delay = admit_without_ledger(account, nodes, now);
        counts.admitted += delay ? 0 : 1;
        counts.refused += delay ? 1 : 0;
        return delay;
    }
    const auto limit = m_limits.find(account.name);
    if (limit != m_limits.end() && m_random.unit() >= limit->second.admitted)
    {
        ++counts.refused;
        return retry_after(limit->second);
    }
    ++counts.admitted;
    return std::nullopt;
}

std::optional<duration> quota_gate::admit_without_ledger(
    const client_account& account, std::size_t nodes, time_point now)
{
    const auto share = m_overage.share * (1 - quota_overage::ledger_part) /
                       static_cast<double>(std::max<std::size_t>(1, nodes));
    const double rate = account.quota.per_s * share;
    auto& bucket =
        m_own_buckets.try_emplace(account.name, token_bucket(rate, 0))
            .first->second;
    bucket.set_rate(rate, std::max(1.0, account.quota.burst * share));
    if (bucket.take(now))
        return std::nullopt;
    return std::clamp<duration>(bucket.wait(now), min_retry_after,
                                max_retry_after);
}

duration quota_gate::retry_after(const quota_limit& limit)
{
    // The retries of one second's refused calls spread over as many seconds as
    // the requested rate is a multiple of the quota.
    const std::chrono::duration<double> spread(limit.demand_ratio *
                                               m_random.unit());
    const auto delay =
        limit.wait + std::chrono::duration_cast<duration>(spread);
    return std::clamp<duration>(delay, min_retry_after, max_retry_after);
}

void quota_gate::give_back(const client_account& account)
{
    if (!account.quota.is_limited())
        return;
    auto& counts = m_counts[account.name];
    counts.account = account.name;
    --counts.admitted;
}

std::optional<std::vector<quota_counts>> quota_gate::take_due_counts()
{
    // While limits are set, messages are due even without counts: their answers
    // show when the limits are lifted.
    if (m_counts.empty() && m_limits.empty() &&
        ++m_idle_calls < idle_report_period)
        return std::nullopt;
    m_idle_calls = 0;
    return take_counts();
}

std::vector<quota_counts> quota_gate::take_counts()
{
    std::vector<quota_counts> counts;
    counts.reserve(m_counts.size());
    for (auto& [name, each] : m_counts)
        counts.push_back(std::move(each));
    m_counts.clear();
    return counts;
}

void quota_gate::restore(const std::vector<quota_counts>& counts)
{
    for (const auto& each : counts)
    {
        auto& merged = m_counts[each.account];
        merged.account = each.account;
        merged.asked += each.asked;
        merged.admitted += each.admitted;
        merged.refused += each.refused;
    }
}

void quota_gate::set_limits(const std::vector<quota_limit>& limits)
{
    m_unanswered_since.reset();
    m_own_buckets.clear();
    m_limits.clear();
    for (const auto& each : limits)
        m_limits[each.account] = each;
}

void quota_gate::note_unanswered(time_point now)
{
    if (!m_unanswered_since)
        m_unanswered_since = now;
}

} // namespace tillerhall
