#include "tillerhall/observe/burn_tracker.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

constexpr std::int64_t longest_minutes = 360;
// Causes are few kinds; a forged variety must not grow the map.
constexpr std::size_t most_causes = 32;

} // namespace

void burn_entry::add(const burn_entry& other)
{
    for (std::size_t i = 0; i < windows.size(); ++i)
    {
        windows[i].calls += other.windows[i].calls;
        windows[i].bad += other.windows[i].bad;
    }
    if (other.began_minutes_ago > began_minutes_ago)
    {
        began_minutes_ago = other.began_minutes_ago;
        began_version = other.began_version;
    }
    if (other.cause_count > cause_count)
    {
        cause = other.cause;
        cause_count = other.cause_count;
    }
    for (const auto& [bucket, count] : other.latencies)
        latencies[bucket] += count;
}

void add_to(burn_report& report, const burn_entry& entry)
{
    const auto [found, is_new] = report.try_emplace(entry.key, entry);
    if (!is_new)
        found->second.add(entry);
}

void burn_tracker::record(const burn_key& key,
                          const std::string& cause,
                          double took_ms,
                          std::uint64_t version,
                          std::int64_t minute)
{
    const std::lock_guard lock(m_mutex);
    auto& kept = m_series[key];
    if (kept.minutes.empty() || kept.minutes.back().minute != minute)
        kept.minutes.push_back({minute, {}, version});
    while (kept.minutes.front().minute <= minute - longest_minutes)
        kept.minutes.pop_front();
    auto& now = kept.minutes.back();
    ++now.count.calls;
    kept.latencies.record(took_ms);
    if (cause.empty())
        return;
    if (now.count.bad == 0)
        now.version = version;
    ++now.count.bad;
    if (kept.causes.contains(cause) || kept.causes.size() < most_causes)
        ++kept.causes[cause];
}

burn_entry burn_tracker::summarize(const burn_key& key,
                                   const series& kept,
                                   std::int64_t minute)
{
    burn_entry entry;
    entry.key = key;
    for (const auto& each : kept.minutes)
    {
        const auto age = minute - each.minute;
        for (std::size_t i = 0; i < burn_windows.size(); ++i)
        {
            if (age >= burn_windows[i].minutes)
                continue;
            entry.windows[i].calls += each.count.calls;
            entry.windows[i].bad += each.count.bad;
        }
        const bool in_range = age < longest_minutes;
        if (in_range && each.count.bad > 0 && entry.began_minutes_ago < 0)
        {
            entry.began_minutes_ago = age;
            entry.began_version = each.version;
        }
    }
    const auto most = std::ranges::max_element(
        kept.causes, {}, [](const auto& each) { return each.second; });
    if (most != kept.causes.end())
    {
        entry.cause = most->first;
        entry.cause_count = most->second;
    }
    entry.latencies = kept.latencies.sparse();
    return entry;
}

std::vector<burn_entry> burn_tracker::entries(std::int64_t minute) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<burn_entry> all;
    for (const auto& [key, kept] : m_series)
        all.push_back(summarize(key, kept, minute));
    return all;
}

} // namespace tillerhall
