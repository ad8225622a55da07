/** @file Joins the table and the member list into one view of the routes. */
#pragma once

#include "tillerhall/distribution/table_view.hpp"
#include "tillerhall/membership/member_list.hpp"

#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/** A row and the members whose targets serve it. */
struct place_route
{
    row limits;
    std::vector<member_ptr> targets;
};

/** The failure domains (places) that serve one service. */
struct service_route
{
    std::vector<place_route> places;
};

/**
 * An immutable join of one table version with one member list. A route names no
 * target that is not in that list, so a node never combines a table with an
 * older or newer member list.
 */
class route_view : public boost::intrusive_ref_counter<route_view>
{
public:
    route_view()
        : m_table(new table_view)
    {
    }
    route_view(table_view_ptr table, const member_list& members);

    std::uint64_t version() const noexcept { return m_table->version(); }
    const table_view& table() const noexcept { return *m_table; }

    /** @return the route to @p service, or null if the table has no row. */
    const service_route* find(const std::string& service) const noexcept;

    /** @return the number of services that have a row. */
    std::size_t route_count() const noexcept { return m_routes.size(); }

private:
    table_view_ptr m_table;
    std::map<std::string, service_route> m_routes;
};

using route_view_ptr = boost::intrusive_ptr<const route_view>;

} // namespace tillerhall
