/** @file Which target belongs to this node and whether it takes work. */
#pragma once

#include "tillerhall/targets/target_report.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** Effect of a report. */
enum class report_result
{
    unchanged,  ///< nothing new
    opened,     ///< a target takes work that did not before
    changed,    ///< other properties of the target in use
    closed,     ///< the target in use takes no more work
    stale,      ///< a report that is older than what is known
    unconfirmed ///< the target takes work once it is confirmed
};

std::string_view name_of(report_result result) noexcept;

/**
 * The targets that have reported to this boot of the node.
 *
 * A start of a target that has left never returns; a later start under the same
 * id is a new target. The reports of a start are ordered by their sequence, so
 * a late report has no effect. Among different ids the one whose first report
 * came last is in use; an older one takes over again only with a report of a
 * greater sequence.
 *
 * Starts under one id share their address, and no request or health check tells
 * them apart. A start with a greater start time than all others is the latest.
 * A report of another start may have been sent before the latest one began, for
 * `max_report_delay` after the first report of that; until then it is stale. If
 * it arrives later, its start lives and is the latest: a clock was set back. A
 * departure closes the target whichever start of its id is in use. One that may
 * have been sent before the latest start began closes nothing and must not be
 * acknowledged. If the start that left had begun less than `max_report_delay`
 * before, a report of another one has to be confirmed.
 *
 * No target is in use before `set_departures_known` is called: after a restart
 * the node must not trust a report that may be older than a departure which its
 * earlier boot acknowledged.
 *
 * The record of such a departure can be lost, with the nodes that held it while
 * the store was down. After a restart a report may therefore have to be
 * confirmed: see `require_confirmation`. Does no I/O.
 */
class target_registry
{
public:
    /**
     * Number of departure records kept. Reports older than that are no longer
     * in transit.
     */
    static constexpr std::size_t max_departures = 8;
    /** A report arrives within this time after it was sent. */
    static constexpr std::chrono::seconds max_report_delay{10};

    /**
     * To be called at the start of a node that may have run before. A report
     * that arrives within `max_report_delay` after @p started may be older than
     * a departure which an earlier boot acknowledged. Its target is not in use
     * before `confirm`, or before a report that arrives later.
     */
    void require_confirmation(time_point started) noexcept
    {
        m_confirm_until = started + max_report_delay;
    }

    /** @return the target whose report awaits confirmation, or null. */
    const target_report* unconfirmed(time_point now) const;

    /**
     * Confirms that @p start takes work, by evidence that is newer than the
     * start of this node.
     * @return the effect of its report, `stale` if none awaits confirmation.
     */
    report_result confirm(const std::string& start, time_point now);

    report_result take(const target_report& report, time_point now);

    /**
     * Records the departure of @p start, from a report or a stored departure
     * record.
     * @return true if it was in use until now.
     */
    bool record_departure(const std::string& start);

    /**
     * To be called when the departure records of earlier boots have been read.
     */
    void set_departures_known() noexcept { m_departures_known = true; }
    bool departures_known() const noexcept { return m_departures_known; }

    /** @return the starts that have left, the newest last. */
    const std::vector<std::string>& departed() const noexcept
    {
        return m_departed;
    }
    bool has_departed(const std::string& start) const;

    /** @return the target that takes work, or null. */
    const target_report* in_use() const noexcept;

    /**
     * @return the target of the last ready report that needs no confirmation,
     * whether it is in use or not; null if there is none.
     */
    const target_report* newest() const noexcept;

    /** @return true if the target in use is cold. */
    bool is_cold(time_point now) const noexcept { return now < m_cold_until; }
    time_point cold_until() const noexcept { return m_cold_until; }

    /**
     * Treats the target as cold until its next report, for @p span at most: it
     * may have become cold while nothing was sent to it.
     */
    void assume_cold(duration span, time_point now) noexcept
    {
        m_cold_until = std::max(m_cold_until, now + span);
    }

private:
    report_result take_leaving(const target_report& report, time_point now);
    /** No start of @p id is in use or awaits confirmation any more. */
    void close(const std::string& id);
    /** @return the starts that @p report, which names none, can mean. */
    std::vector<std::string> known_starts_of(const target_report& report) const;
    report_result use(const target_report& report, time_point now);
    bool needs_confirmation(const target_report& report, time_point now) const;
    /** The latest start under an id. */
    struct latest_start
    {
        std::uint64_t started_ms = 0;
        std::uint64_t greatest_ms = 0; ///< start time of any start of the id
        time_point seen{};             ///< arrival of its first report
        /** After a departure under the id a report that arrives before this
         * may have been sent before that and needs confirmation. */
        time_point confirm_until{};
    };

    void note_start(const target_report& report, time_point now);
    void set_latest(const target_report& report, time_point now);
    /** @return true if @p report is of another start than @p latest and may
     * have been sent before that began. */
    static bool may_precede(const target_report& report,
                            const latest_start& latest,
                            time_point now);
    /** @return true if @p report does not show that its start lives. */
    bool is_outdated(const target_report& report, time_point now) const;

    std::map<std::string, latest_start> m_latest;     ///< by id
    std::map<std::string, std::uint64_t> m_sequences; ///< by start
    std::vector<std::string> m_departed;
    std::optional<target_report> m_current;
    std::optional<target_report> m_unconfirmed;
    std::vector<std::string> m_confirmed; ///< starts
    /** Reports that arrive before this need confirmation. */
    time_point m_confirm_until{};
    time_point
        m_last_report_at{}; ///< time of the last report of the target in use
    time_point m_cold_until{};
    bool m_departures_known = false;
};

} // namespace tillerhall
