#include "tillerhall/targets/target_register.hpp"

#include <algorithm>
#include <array>

namespace tillerhall
{
namespace
{
constexpr std::array<std::string_view, 5> verdict_names{
    "unchanged", "opened", "changed", "closed", "stale"};
}

std::string_view name_of(report_verdict verdict) noexcept
{
    return verdict_names[static_cast<std::size_t>(verdict)];
}

bool target_register::has_left(const std::string& id) const
{
    return std::ranges::find(m_left, id) != m_left.end();
}

bool target_register::mark_left(const std::string& id)
{
    if (!has_left(id))
        m_left.push_back(id);
    if (m_left.size() > most_marks)
        m_left.erase(m_left.begin());
    const bool was_used = in_use() != nullptr && m_current->id == id;
    if (m_current && m_current->id == id)
        m_current.reset();
    return was_used;
}

report_verdict target_register::take(const target_report& report,
                                     time_point now)
{
    if (report.state != report_state::ready)
    {
        // Also a late word of leaving is true for ever.
        m_sequences[report.id] =
            std::max(m_sequences[report.id], report.sequence);
        const bool known = has_left(report.id);
        const bool was_used = mark_left(report.id);
        if (was_used)
            return report_verdict::closed;
        return known ? report_verdict::unchanged : report_verdict::closed;
    }
    const auto seen = m_sequences.find(report.id);
    if (has_left(report.id) ||
        (seen != m_sequences.end() && report.sequence <= seen->second))
        return report_verdict::stale;
    m_sequences[report.id] = report.sequence;
    const bool was_open = in_use() != nullptr;
    const bool same = m_current && m_current->id == report.id &&
                      m_current->where == report.where &&
                      m_current->slots == report.slots &&
                      m_current->release == report.release;
    m_current = report;
    m_cold_until = now + report.cold_for;
    if (!m_marks_known)
        return report_verdict::unchanged;
    if (!was_open)
        return report_verdict::opened;
    return same ? report_verdict::unchanged : report_verdict::changed;
}

const target_report* target_register::in_use() const noexcept
{
    return m_marks_known && m_current ? &*m_current : nullptr;
}

const target_report* target_register::newest() const noexcept
{
    return m_current ? &*m_current : nullptr;
}

} // namespace tillerhall
