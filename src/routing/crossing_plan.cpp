#include "tillerhall/routing/crossing_plan.hpp"

#include "tillerhall/routing/domain_balance.hpp"
#include "tillerhall/routing/domain_loads.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace tillerhall
{
namespace
{

constexpr double golden_step = 0.6180339887498949; // 1 / golden ratio
// Tokens for further calls that may be saved up, as seconds of their rate.
constexpr double token_burst_s = 0.5;
// Entries with few calls are refused rarely, but then several times in a row.
constexpr double min_burst = 2;
// Weight of the newest call in the share of crossing calls that were refused.
constexpr double newest_share = 0.05;
// Above this share of refusals a domain does not have the slots that it
// reports; fewer are normal where a call meets one full target among others.
constexpr double normal_refusals = 0.5;
// Part of the planned share that is still sent then, to notice the end of it.
constexpr double min_weight = 0.1;
// Part of the share of refusals that is kept from plan to plan, several times a
// second, so that a domain to which no call crosses is tried again.
constexpr double kept_refusals = 0.95;

} // namespace

void crossing_plan::update(
    const capacity_answer& answer,
    const std::map<std::string, service_demand::need>& needs,
    time_point now,
    duration valid)
{
    const auto own =
        std::ranges::find(answer.domains, m_own, &domain_sums::place);
    if (own == answer.domains.end())
        return;
    const auto own_index =
        static_cast<std::size_t>(own - answer.domains.begin());
    for (const auto& service : services_of(answer.domains))
    {
        const auto loads = loads_of(answer.domains, service);
        const auto flows = balance_domains(loads).flows[own_index];
        const auto part = std::ranges::find(
            answer.parts, service, &std::pair<std::string, double>::first);
        const auto need = needs.find(service);
        const bool is_needed = part != answer.parts.end() &&
                               need != needs.end() && need->second.slots > 0;
        const double further_calls =
            is_needed
                ? part->second * need->second.calls_per_s / need->second.slots
                : 0;
        auto [found, is_new] = m_plans.try_emplace(service);
        auto& plan = found->second;
        if (is_new)
            plan.point = m_start;
        const auto& load = loads[own_index];
        plan.own_capacity = load.capacity;
        plan.own_demand = load.demand;
        plan.is_short = flows.is_short;
        plan.valid_until = now + valid;
        const auto known = std::exchange(plan.others, {});
        for (std::size_t i = 0; i < loads.size(); ++i)
        {
            if (i == own_index)
                continue;
            const auto& place = answer.domains[i].place;
            const auto kept =
                std::ranges::find(known, place, &other_domain::place);
            auto& other = plan.others.emplace_back();
            if (kept != known.end())
                other = *kept;
            else
                // Spread, or entries with few calls would have no token for
                // long, and then all at once.
                other.further = token_bucket(0, m_start);
            const double rate = flows.further[i] * further_calls;
            other.place = place;
            other.refused *= kept_refusals;
            other.capacity = loads[i].capacity;
            other.planned =
                load.demand > 0 ? flows.planned[i] / load.demand : 0;
            other.further.set_rate(
                rate, std::max(min_burst, rate * token_burst_s), now);
        }
    }
    m_view = make_capacity_view(answer.domains, now);
}

const crossing_plan::service_plan*
crossing_plan::find(const std::string& service) const
{
    const auto found = m_plans.find(service);
    return found == m_plans.end() ? nullptr : &found->second;
}

crossing_plan::service_plan* crossing_plan::find(const std::string& service)
{
    const auto found = m_plans.find(service);
    return found == m_plans.end() ? nullptr : &found->second;
}

bool crossing_plan::has_plan(const std::string& service, time_point now) const
{
    const auto* plan = find(service);
    return plan != nullptr && now < plan->valid_until;
}

bool crossing_plan::is_own_full(const std::string& service) const
{
    const auto* plan = find(service);
    return plan != nullptr && plan->own_demand >= plan->own_capacity;
}

bool crossing_plan::is_short(const std::string& service, time_point now) const
{
    return has_plan(service, now) && find(service)->is_short;
}

double crossing_plan::weight_of(const other_domain& other)
{
    const double usable = (1 - other.refused) / (1 - normal_refusals);
    return std::clamp(usable, min_weight, 1.0);
}

const member_place& crossing_plan::first_domain(const std::string& service,
                                                double able)
{
    auto& plan = *find(service);
    plan.point = std::fmod(plan.point + golden_step, 1.0);
    const bool is_own_failing = able < min_able && plan.own_capacity > 0;
    double whole = 1;
    if (is_own_failing)
        whole = std::accumulate(plan.others.begin(), plan.others.end(),
                                plan.own_capacity * able,
                                [](double sum, const other_domain& each)
                                { return sum + each.capacity; });
    double left = plan.point * whole;
    for (const auto& each : plan.others)
    {
        left -= is_own_failing ? each.capacity : each.planned * weight_of(each);
        if (left < 0)
            return each.place;
    }
    return m_own;
}

const member_place* crossing_plan::grant(const std::string& service,
                                         time_point now)
{
    auto& plan = *find(service);
    const auto found = std::ranges::find_if(
        plan.others, [&](other_domain& each)
        { return each.refused < normal_refusals && each.further.take(now); });
    return found == plan.others.end() ? nullptr : &found->place;
}

void crossing_plan::crossed(const std::string& service,
                            const member_place& place,
                            bool was_refused)
{
    auto* plan = find(service);
    if (plan == nullptr)
        return;
    const auto found =
        std::ranges::find(plan->others, place, &other_domain::place);
    if (found != plan->others.end())
        found->refused +=
            ((was_refused ? 1 : 0) - found->refused) * newest_share;
}

} // namespace tillerhall
