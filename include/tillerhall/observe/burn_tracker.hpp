/** @file How fast each service at each place uses up what it may fail. */
#pragma once

#include "tillerhall/observe/latency_histogram.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** The windows of the report, as in the Google SRE Workbook, chapter 5. */
struct burn_window
{
    std::string_view name;
    std::int64_t minutes;
};

inline constexpr std::array burn_windows{
    burn_window{"5m", 5}, burn_window{"1h", 60}, burn_window{"30m", 30},
    burn_window{"6h", 360}};

/** What is counted together. */
struct burn_key
{
    std::string service;
    std::string place; ///< of the target, "-" for calls that found none

    auto operator<=>(const burn_key&) const = default;
};

/** Calls and bad calls. */
struct burn_count
{
    std::uint64_t calls = 0;
    std::uint64_t bad = 0;
};

/** One service at one place, over all windows. */
struct burn_entry
{
    burn_key key;
    std::array<burn_count, burn_windows.size()> windows;
    std::int64_t began_minutes_ago = -1; ///< first bad minute, -1 for none
    std::uint64_t began_version = 0;     ///< the table in force then
    std::string cause;                   ///< what most bad calls met
    std::uint64_t cause_count = 0;
    std::map<int, std::uint64_t> latencies; ///< of `latency_histogram`

    /** Adds what another node saw of the same key. */
    void add(const burn_entry& other);
};

/** Entries of several nodes, added up by key. */
using burn_report = std::map<burn_key, burn_entry>;

/** Adds @p entry to @p report. */
void add_to(burn_report& report, const burn_entry& entry);

/**
 * Counts calls minute by minute for six hours. Safe for threads.
 * Lock order: a leaf.
 */
class burn_tracker
{
public:
    /**
     * Counts one call.
     * @param cause why it was bad; empty for a good one
     * @param version the table in force
     * @param minute wall clock
     */
    void record(const burn_key& key,
                const std::string& cause,
                double took_ms,
                std::uint64_t version,
                std::int64_t minute);

    /** @return one entry a key with calls in the last six hours. */
    std::vector<burn_entry> entries(std::int64_t minute) const;

private:
    struct minute_count
    {
        std::int64_t minute = 0;
        burn_count count;
        std::uint64_t version = 0;
    };

    struct series
    {
        std::deque<minute_count> minutes; ///< oldest first
        std::map<std::string, std::uint64_t> causes;
        latency_histogram latencies;
    };

    static burn_entry
    summarize(const burn_key& key, const series& kept, std::int64_t minute);

    mutable std::mutex m_mutex;
    std::map<burn_key, series> m_series;
};

} // namespace tillerhall
