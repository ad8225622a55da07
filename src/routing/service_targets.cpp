#include "tillerhall/routing/service_targets.hpp"

namespace tillerhall
{

service_targets::service_targets(const member_list& members)
    : m_live(members.live_count())
{
    for (const auto& each : members.ordered())
        if (takes_calls(*each.record))
            m_by_service[each.record->service].push_back(each.record);
        else if (serves_while_leaving(*each.record))
            m_leaving[each.record->service].push_back(each.record);
}

const std::vector<member_ptr>& service_targets::find(const by_service& in,
                                                     const std::string& service)
{
    static const std::vector<member_ptr> none;
    const auto found = in.find(service);
    return found == in.end() ? none : found->second;
}

const std::vector<member_ptr>&
service_targets::of(const std::string& service) const
{
    return find(m_by_service, service);
}

const std::vector<member_ptr>&
service_targets::leaving(const std::string& service) const
{
    return find(m_leaving, service);
}

} // namespace tillerhall
