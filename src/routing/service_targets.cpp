#include "tillerhall/routing/service_targets.hpp"

namespace tillerhall
{

service_targets::service_targets(const member_list& members)
    : m_live(members.live_count())
{
    for (const auto& each : members.ordered())
        if (takes_calls(*each.record))
            m_by_service[each.record->service].push_back(each.record);
}

const std::vector<member_ptr>&
service_targets::of(const std::string& service) const
{
    static const std::vector<member_ptr> none;
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? none : found->second;
}

} // namespace tillerhall
