/** @file The loads of failure domains for one service, from their sums. */
#pragma once

#include "tillerhall/routing/capacity_message.hpp"
#include "tillerhall/routing/domain_balance.hpp"

#include <set>
#include <string>
#include <vector>

namespace tillerhall
{

/** @return the services of all @p domains. */
std::set<std::string> services_of(const std::vector<domain_sums>& domains);

/** @return the sum of @p service in @p domain; zeros if there is none. */
service_sum sum_of(const domain_sums& domain, const std::string& service);

/** @return the loads of @p service, in the order of @p domains. */
std::vector<domain_load> loads_of(const std::vector<domain_sums>& domains,
                                  const std::string& service);

} // namespace tillerhall
