#include "tillerhall/targets/target_registry.hpp"

#include <algorithm>
#include <array>

namespace tillerhall
{
namespace
{
constexpr std::array<std::string_view, 6> result_names{
    "unchanged", "opened", "changed", "closed", "stale", "unconfirmed"};
// Targets report every one or two seconds; one without a report for longer
// counts as gone.
constexpr std::chrono::seconds report_timeout(5);
} // namespace

std::string_view name_of(report_result result) noexcept
{
    return result_names[static_cast<std::size_t>(result)];
}

bool target_registry::has_departed(const std::string& start) const
{
    return std::ranges::find(m_departed, start) != m_departed.end();
}

bool target_registry::record_departure(const std::string& start)
{
    if (!has_departed(start))
        m_departed.push_back(start);
    if (m_departed.size() > max_departures)
        m_departed.erase(m_departed.begin());
    const bool is_current = m_current && m_current->start() == start;
    const bool was_used = in_use() != nullptr && is_current;
    if (is_current)
        m_current.reset();
    if (m_unconfirmed && m_unconfirmed->start() == start)
        m_unconfirmed.reset();
    return was_used;
}

std::vector<std::string>
target_registry::known_starts_of(const target_report& report) const
{
    std::vector<std::string> starts;
    for (const auto* known : {&m_current, &m_unconfirmed})
        if (*known && (*known)->id == report.id)
            starts.push_back((*known)->start());
    return starts;
}

report_result target_registry::take_leaving(const target_report& report,
                                            time_point now)
{
    // A departure that does not identify its start means the current one.
    auto starts = report.started_ms == 0 ? known_starts_of(report)
                                         : std::vector<std::string>();
    if (starts.empty())
        starts.push_back(report.start());
    bool is_new = false;
    for (const auto& start : starts)
    {
        auto& sequence = m_sequences[start];
        sequence = std::max(sequence, report.sequence);
        is_new = !has_departed(start) || is_new;
        is_new = record_departure(start) || is_new;
    }
    const bool is_other_known = !known_starts_of(report).empty();
    if (is_other_known && may_precede(report, m_latest[report.id], now))
        return report_result::stale;
    close(report.id);
    set_latest(report, now);
    auto& latest = m_latest[report.id];
    latest.confirm_until = latest.seen + max_report_delay;
    return is_new || is_other_known ? report_result::closed
                                    : report_result::unchanged;
}

void target_registry::close(const std::string& id)
{
    for (auto* known : {&m_current, &m_unconfirmed})
        if (*known && (*known)->id == id)
            known->reset();
}

void target_registry::note_start(const target_report& report, time_point now)
{
    auto& latest = m_latest[report.id];
    if (report.started_ms <= latest.greatest_ms)
        return;
    latest.greatest_ms = report.started_ms;
    set_latest(report, now);
}

void target_registry::set_latest(const target_report& report, time_point now)
{
    auto& latest = m_latest[report.id];
    if (latest.started_ms == report.started_ms)
        return;
    latest.started_ms = report.started_ms;
    latest.seen = now;
}

bool target_registry::may_precede(const target_report& report,
                                  const latest_start& latest,
                                  time_point now)
{
    return report.started_ms != latest.started_ms &&
           now < latest.seen + max_report_delay;
}

bool target_registry::is_outdated(const target_report& report,
                                  time_point now) const
{
    const auto& latest = m_latest.at(report.id);
    if (report.started_ms == latest.started_ms)
        return false;
    // Of the starts under one id only one lives.
    const bool is_other_used = m_current && m_current->id == report.id &&
                               m_current->started_ms != report.started_ms;
    return may_precede(report, latest, now) ||
           (is_other_used && now < m_last_report_at + report_timeout);
}

report_result target_registry::take(const target_report& report, time_point now)
{
    note_start(report, now);
    // A departure is final, however late its report arrives.
    if (report.state != report_state::ready)
        return take_leaving(report, now);
    const auto start = report.start();
    const auto seen = m_sequences.find(start);
    if (has_departed(start) || is_outdated(report, now) ||
        (seen != m_sequences.end() && report.sequence <= seen->second))
        return report_result::stale;
    set_latest(report, now);
    m_sequences[start] = report.sequence;
    if (needs_confirmation(report, now))
    {
        m_unconfirmed = report;
        return report_result::unconfirmed;
    }
    return use(report, now);
}

bool target_registry::needs_confirmation(const target_report& report,
                                         time_point now) const
{
    const auto until =
        std::max(m_confirm_until, m_latest.at(report.id).confirm_until);
    return now < until &&
           std::ranges::find(m_confirmed, report.start()) == m_confirmed.end();
}

const target_report* target_registry::unconfirmed(time_point now) const
{
    return m_unconfirmed && needs_confirmation(*m_unconfirmed, now)
               ? &*m_unconfirmed
               : nullptr;
}

report_result target_registry::confirm(const std::string& start, time_point now)
{
    if (!m_unconfirmed || m_unconfirmed->start() != start)
        return report_result::stale;
    m_confirmed.push_back(start);
    return use(target_report(*m_unconfirmed), now);
}

report_result target_registry::use(const target_report& report, time_point now)
{
    m_unconfirmed.reset();
    const bool was_open = in_use() != nullptr;
    const bool same = m_current && m_current->start() == report.start() &&
                      m_current->where == report.where &&
                      m_current->slots == report.slots &&
                      m_current->release == report.release;
    m_current = report;
    m_last_report_at = now;
    m_cold_until = now + report.cold_for;
    if (!m_departures_known)
        return report_result::unchanged;
    if (!was_open)
        return report_result::opened;
    return same ? report_result::unchanged : report_result::changed;
}

const target_report* target_registry::in_use() const noexcept
{
    return m_departures_known && m_current ? &*m_current : nullptr;
}

const target_report* target_registry::newest() const noexcept
{
    return m_current ? &*m_current : nullptr;
}

} // namespace tillerhall
