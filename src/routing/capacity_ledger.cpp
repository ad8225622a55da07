#include "tillerhall/routing/capacity_ledger.hpp"

#include <algorithm>
#include <set>

namespace tillerhall
{

bool capacity_ledger::take_report(capacity_report report, time_point now)
{
    std::erase_if(m_reports, [&](const auto& each)
                  { return each.second.at + m_report_age < now; });
    const auto found = m_reports.find(report.node);
    if (found != m_reports.end() &&
        found->second.report.sequence >= report.sequence)
        return false;
    const auto node = report.node;
    m_reports[node] = {std::move(report), now};
    return true;
}

bool capacity_ledger::take_sums(domain_sums sums, time_point now)
{
    if (sums.place == m_own || sums.age > max_age)
        return false;
    auto& readers = m_others[sums.place];
    std::erase_if(readers, [&](const auto& each)
                  { return each.second.at + max_age < now; });
    const auto found = readers.find(sums.reader);
    if (found != readers.end() && found->second.sums.sequence >= sums.sequence)
        return false;
    const auto reader = sums.reader;
    const auto current_at = now - sums.age;
    readers[reader] = {std::move(sums), current_at};
    return true;
}

bool capacity_ledger::has_reports(time_point now) const
{
    return std::ranges::any_of(
        m_reports,
        [&](const auto& each) { return now <= each.second.at + m_report_age; });
}

domain_sums capacity_ledger::own_sums(time_point now) const
{
    domain_sums made;
    made.place = m_own;
    made.reader = m_node;
    std::map<std::string, service_sum> sums;
    for (const auto& [node, kept] : m_reports)
    {
        if (kept.at + m_report_age < now)
            continue;
        ++made.nodes;
        if (const auto& owner = kept.report.owner)
        {
            sums[owner->service].capacity += owner->slots;
            sums[owner->service].lent += owner->lent_used;
        }
        for (const auto& each : kept.report.demands)
        {
            sums[each.service].demand += each.slots;
            sums[each.service].borrowed += each.borrowed;
        }
    }
    for (auto& [service, sum] : sums)
    {
        sum.service = service;
        made.services.push_back(std::move(sum));
    }
    return made;
}

std::vector<domain_sums> capacity_ledger::all(time_point now) const
{
    std::vector<domain_sums> made{own_sums(now)};
    for (const auto& [place, readers] : m_others)
    {
        const kept_sums* best = nullptr;
        for (const auto& [reader, kept] : readers)
            if (now <= kept.at + max_age &&
                (best == nullptr || kept.sums.nodes > best->sums.nodes))
                best = &kept;
        if (best == nullptr)
            continue;
        made.push_back(best->sums);
        made.back().age =
            std::chrono::duration_cast<milliseconds>(now - best->at);
    }
    return made;
}

capacity_answer capacity_ledger::answer(const capacity_report& report,
                                        time_point now) const
{
    capacity_answer made;
    std::set<std::string> asked;
    for (const auto& each : report.demands)
        asked.insert(each.service);
    made.domains = all(now);
    for (const auto& each : report.demands)
        for (const auto& sum : made.domains.front().services)
            if (sum.service == each.service && sum.demand > 0)
                made.parts.emplace_back(each.service,
                                        std::min(1.0, each.slots / sum.demand));
    for (auto& domain : made.domains)
        std::erase_if(domain.services, [&](const service_sum& each)
                      { return !asked.contains(each.service); });
    return made;
}

} // namespace tillerhall
