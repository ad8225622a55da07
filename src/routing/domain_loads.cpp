#include "tillerhall/routing/domain_loads.hpp"

#include <algorithm>
#include <map>

namespace tillerhall
{

namespace
{

// Slots. The first calls of a domain without targets must find a share planned.
constexpr double min_demand = 0.01;

} // namespace

std::set<std::string> services_of(const std::vector<domain_sums>& domains)
{
    std::set<std::string> services;
    for (const auto& domain : domains)
        for (const auto& each : domain.services)
            services.insert(each.service);
    return services;
}

service_sum sum_of(const domain_sums& domain, const std::string& service)
{
    const auto found =
        std::ranges::find(domain.services, service, &service_sum::service);
    return found == domain.services.end() ? service_sum{} : *found;
}

std::vector<domain_load> loads_of(const std::vector<domain_sums>& domains,
                                  const std::string& service)
{
    std::map<std::string, std::size_t> regions;
    std::vector<domain_load> loads;
    for (const auto& each : domains)
    {
        const auto sum = sum_of(each, service);
        const auto region =
            regions.try_emplace(each.place.region, regions.size())
                .first->second;
        loads.push_back(
            {sum.capacity, std::max(sum.demand, min_demand), region});
    }
    return loads;
}

} // namespace tillerhall
