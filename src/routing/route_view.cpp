#include "tillerhall/routing/route_view.hpp"

#include <algorithm>

namespace tillerhall
{

route_view::route_view(table_view_ptr table, const member_list& members)
    : m_table(std::move(table))
{
    std::map<row_key, std::vector<member_ptr>> by_row;
    for (const auto& each : members.ordered())
        if (takes_calls(*each.record))
            by_row[{each.record->service, each.record->place.domain}].push_back(
                each.record);
    for (const auto& each : m_table->table().rows())
    {
        place_route route{each, {}};
        if (const auto found = by_row.find(each.key); found != by_row.end())
            route.targets = std::move(found->second);
        m_routes[each.key.service].places.push_back(std::move(route));
    }
}

const service_route* route_view::find(const std::string& service) const noexcept
{
    const auto found = m_routes.find(service);
    return found == m_routes.end() ? nullptr : &found->second;
}

} // namespace tillerhall
