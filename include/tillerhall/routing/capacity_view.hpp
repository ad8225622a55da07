/** @file What a node knows of the capacity of services by failure domain. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/capacity_message.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/** One service in one failure domain. */
struct domain_capacity
{
    member_place place;
    double slots = 0;    ///< usable
    double demand = 0;   ///< of the domain's callers, in slots
    double spare = 0;    ///< usable slots that nobody needs
    double planned = 0;  ///< share of its calls sent to other domains
    double promised = 0; ///< slots that the plans of other domains use here
    double lent = 0;     ///< calls of other domains that run here
    double borrowed = 0; ///< calls of this domain that run elsewhere
    milliseconds age{0}; ///< of these figures when they were received
};

/** An immutable view, by service. */
struct capacity_view : boost::intrusive_ref_counter<capacity_view>
{
    std::map<std::string, std::vector<domain_capacity>> services;
    time_point received{};
};

using capacity_view_ptr = boost::intrusive_ptr<const capacity_view>;

/** @return the view of @p domains, with the flows that are planned. */
capacity_view_ptr make_capacity_view(const std::vector<domain_sums>& domains,
                                     time_point received);

/** @return the view for operators; ages grow until @p now. */
boost::json::object to_json(const capacity_view& view, time_point now);

/** @return whether every domain has more demand than slots for @p service by
 * a recent view; false if it is not known. */
bool all_domains_full(const capacity_view& view,
                      const std::string& service,
                      time_point now);

} // namespace tillerhall
