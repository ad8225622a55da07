#include "tillerhall/node/call_log.hpp"

#include <algorithm>

namespace tillerhall
{

void call_log::note(call_record record)
{
    const std::lock_guard lock(m_mutex);
    m_records.push_back(std::move(record));
    if (m_records.size() > max_records)
        m_records.pop_front();
}

std::vector<call_record> call_log::find(const std::string& request_id) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<call_record> found;
    std::ranges::copy_if(m_records, std::back_inserter(found),
                         [&](const call_record& each)
                         { return each.request_id == request_id; });
    return found;
}

} // namespace tillerhall
