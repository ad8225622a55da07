#include "tillerhall/node/journal.hpp"
#include "tillerhall/core/time.hpp"
#include "tillerhall/observe/log.hpp"

#include <algorithm>

namespace tillerhall
{

void journal::note(std::string decision,
                   std::string subject,
                   std::string reason,
                   boost::json::object figures)
{
    boost::json::object line{{"subject", subject}, {"reason", reason}};
    for (const auto& each : figures)
        line.insert_or_assign(each.key(), each.value());
    log_event(log_level::info, decision, std::move(line));
    const std::lock_guard lock(m_mutex);
    m_entries.push_back({wall_clock_us(), std::move(decision),
                         std::move(reason), std::move(subject),
                         std::move(figures)});
    if (m_entries.size() > max_kept)
        m_entries.pop_front();
}

std::vector<journal_entry> journal::about(const std::string& subject) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<journal_entry> found;
    std::ranges::copy_if(m_entries, std::back_inserter(found),
                         [&](const journal_entry& each) {
                             return subject.empty() || each.subject == subject;
                         });
    return found;
}

} // namespace tillerhall
