/** @file The members whose targets take calls, by service. */
#pragma once

#include "tillerhall/membership/member_list.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/** An immutable view of one state of the member list. */
class service_targets : public boost::intrusive_ref_counter<service_targets>
{
public:
    service_targets() = default;
    explicit service_targets(const member_list& members);

    /** @return the members that serve @p service; empty if none is known. */
    const std::vector<member_ptr>& of(const std::string& service) const;

    /**
     * @return the members in a planned stop whose targets still serve
     * @p service: for when no other has room.
     */
    const std::vector<member_ptr>& leaving(const std::string& service) const;

    /** @return how many members run, this node included. */
    std::size_t live_members() const noexcept { return m_live; }

private:
    using by_service = std::map<std::string, std::vector<member_ptr>>;

    static const std::vector<member_ptr>& find(const by_service& in,
                                               const std::string& service);

    by_service m_by_service;
    by_service m_leaving;
    std::size_t m_live = 1;
};

using service_targets_ptr = boost::intrusive_ptr<const service_targets>;

} // namespace tillerhall
