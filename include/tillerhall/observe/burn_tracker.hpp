/** @file Error budget burn by service and place. */
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

/** A window of the report, as in the Google SRE Workbook, chapter 5. */
struct burn_window
{
    std::string_view name;
    std::int64_t minutes;
};

inline constexpr std::array burn_windows{
    burn_window{"5m", 5}, burn_window{"1h", 60}, burn_window{"30m", 30},
    burn_window{"6h", 360}};

/** The key of a series: calls of one service at one place. */
struct burn_key
{
    std::string service;
    std::string place; ///< of the target, "-" for calls without one

    auto operator<=>(const burn_key&) const = default;
};

/** Calls, and those of them that missed the objective. */
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
    std::int64_t began_minutes_ago = -1; ///< first bad minute; -1: none
    std::uint64_t began_version = 0;     ///< table version in effect then
    std::string cause;                   ///< most frequent cause
    std::uint64_t cause_count = 0;
    std::map<int, std::uint64_t> latencies; ///< by bucket

    /** Adds the entry of another node for the same key. */
    void add(const burn_entry& other);
};

/** Entries of several nodes, summed by key. */
using burn_report = std::map<burn_key, burn_entry>;

void add_to(burn_report& report, const burn_entry& entry);

/**
 * Counts calls per minute over the last six hours. Thread-safe.
 * Lock order: a leaf.
 */
class burn_tracker
{
public:
    /**
     * Counts one call.
     * @param cause why the call was bad; empty for a good one
     * @param version the table version in effect
     * @param minute wall clock, in minutes since 1970
     */
    void record(const burn_key& key,
                const std::string& cause,
                double took_ms,
                std::uint64_t version,
                std::int64_t minute);

    /** @return one entry for each key; @p minute as for `record`. */
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
    summarize(const burn_key& key, const series& recorded, std::int64_t minute);

    mutable std::mutex m_mutex;
    std::map<burn_key, series> m_series;
};

} // namespace tillerhall
