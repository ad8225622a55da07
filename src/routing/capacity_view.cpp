#include "tillerhall/routing/capacity_view.hpp"

#include "tillerhall/routing/domain_loads.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <numeric>

namespace tillerhall
{

capacity_view_ptr make_capacity_view(const std::vector<domain_sums>& domains,
                                     time_point received)
{
    auto* const made = new capacity_view;
    capacity_view_ptr kept(made);
    made->received = received;
    for (const auto& service : services_of(domains))
    {
        const auto loads = loads_of(domains, service);
        const auto balance = balance_domains(loads);
        auto& rows = made->services[service];
        for (std::size_t i = 0; i < loads.size(); ++i)
        {
            const auto& planned = balance.flows[i].planned;
            const double sent =
                std::accumulate(planned.begin(), planned.end(), 0.0);
            double promised = 0;
            for (const auto& each : balance.flows)
                promised += each.planned[i];
            const auto sum = sum_of(domains[i], service);
            rows.push_back({.place = domains[i].place,
                            .slots = sum.capacity,
                            .demand = sum.demand,
                            .spare = balance.spare[i],
                            .planned = sum.demand > 0 ? sent / sum.demand : 0,
                            .promised = promised,
                            .lent = sum.lent,
                            .borrowed = sum.borrowed,
                            .age = domains[i].age});
        }
    }
    return kept;
}

boost::json::object to_json(const capacity_view& view, time_point now)
{
    boost::json::array services;
    for (const auto& [service, domains] : view.services)
    {
        boost::json::array rows;
        for (const auto& each : domains)
            rows.push_back(boost::json::object{
                {"region", each.place.region},
                {"domain", each.place.domain},
                {"slots", each.slots},
                {"demand", each.demand},
                {"spare", each.spare},
                {"planned", each.planned},
                {"promised", each.promised},
                {"lent", each.lent},
                {"borrowed", each.borrowed},
                {"age_ms", to_ms(now - view.received + each.age)}});
        services.push_back(boost::json::object{{"service", service},
                                               {"domains", std::move(rows)}});
    }
    return {{"services", std::move(services)}};
}

bool all_domains_full(const capacity_view& view,
                      const std::string& service,
                      time_point now)
{
    constexpr milliseconds recent(2'000);
    const auto found = view.services.find(service);
    return found != view.services.end() && now <= view.received + recent &&
           std::ranges::all_of(found->second, [](const domain_capacity& each)
                               { return each.demand >= each.slots; });
}

} // namespace tillerhall
