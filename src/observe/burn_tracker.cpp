#include "tillerhall/observe/burn_tracker.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

constexpr std::int64_t retention_minutes = 360;
// Bounds the map; the usual causes are far fewer.
constexpr std::size_t max_causes = 32;

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
    if (!m_series.contains(key))
        std::erase_if(m_series,
                      [minute](const auto& each) {
                          return each.second.minutes.back().minute <=
                                 minute - retention_minutes;
                      });
    auto& recorded = m_series[key];
    if (recorded.minutes.empty() || recorded.minutes.back().minute != minute)
        recorded.minutes.push_back({minute, {}, version});
    while (recorded.minutes.front().minute <= minute - retention_minutes)
        recorded.minutes.pop_front();
    auto& current = recorded.minutes.back();
    ++current.count.calls;
    recorded.latencies.record(took_ms);
    if (cause.empty())
        return;
    if (current.count.bad == 0)
        current.version = version;
    ++current.count.bad;
    if (recorded.causes.contains(cause) || recorded.causes.size() < max_causes)
        ++recorded.causes[cause];
}

burn_entry burn_tracker::summarize(const burn_key& key,
                                   const series& recorded,
                                   std::int64_t minute)
{
    burn_entry entry;
    entry.key = key;
    for (const auto& each : recorded.minutes)
    {
        const auto age = minute - each.minute;
        for (std::size_t i = 0; i < burn_windows.size(); ++i)
        {
            if (age >= burn_windows[i].minutes)
                continue;
            entry.windows[i].calls += each.count.calls;
            entry.windows[i].bad += each.count.bad;
        }
        const bool in_range = age < retention_minutes;
        if (in_range && each.count.bad > 0 && entry.began_minutes_ago < 0)
        {
            entry.began_minutes_ago = age;
            entry.began_version = each.version;
        }
    }
    const auto top_cause = std::ranges::max_element(
        recorded.causes, {}, [](const auto& each) { return each.second; });
    if (top_cause != recorded.causes.end())
    {
        entry.cause = top_cause->first;
        entry.cause_count = top_cause->second;
    }
    entry.latencies = recorded.latencies.bucket_counts();
    return entry;
}

std::vector<burn_entry> burn_tracker::entries(std::int64_t minute) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<burn_entry> all;
    for (const auto& [key, recorded] : m_series)
        all.push_back(summarize(key, recorded, minute));
    return all;
}

} // namespace tillerhall
