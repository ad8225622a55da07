#include "tillerhall/routing/domain_balance.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace tillerhall
{
namespace
{

// Slots kept free, as a multiple of the square root of all. By the
// Halfin-Whitt formula half of the calls then find a free slot at once, and the
// others wait for a small part of a run.
constexpr double margin = 0.5;
// Slots that a domain which is not full by its own callers offers to refused
// calls of full ones beyond its usable capacity, as a multiple of its margin.
// Its own calls go first, so these cost it nothing.
constexpr double offered_margins = 2;
// Where all domains are full, a domain that has far less capacity than the
// others, or none, still gets this part of the share of calls that one pool
// would serve. Own calls first would otherwise leave its callers unserved.
constexpr double min_served_part = 0.5;

/** Loads and flows while the balance is being computed. */
class flow_builder
{
public:
    explicit flow_builder(std::span<const domain_load> loads)
        : m_loads(loads)
        , m_sent(loads.size(), 0)
        , m_received(loads.size(), 0)
        , m_flows(loads.size())
    {
        for (auto& each : m_flows)
            each.planned = each.further = std::vector<double>(loads.size(), 0);
    }

    /** @return the demand of domain @p i that is not sent elsewhere. */
    double kept(std::size_t i) const { return m_loads[i].demand - m_sent[i]; }

    /** @return all demand that domain @p i serves by the flows so far. */
    double served(std::size_t i) const { return kept(i) + m_received[i]; }

    /** Distributes @p excess over @p spare in proportion, among the domains of
     * each region first. */
    void move(std::vector<double> excess, std::vector<double> spare)
    {
        std::set<std::size_t> regions;
        for (const auto& each : m_loads)
            regions.insert(each.region);
        if (regions.size() > 1)
            for (const auto region : regions)
                move_among(excess, spare,
                           [&](std::size_t i)
                           { return m_loads[i].region == region; });
        move_among(excess, spare, [](std::size_t) { return true; });
    }

    void mark_short(std::size_t i) { m_flows[i].is_short = true; }

    std::vector<domain_flows> take_flows() { return std::move(m_flows); }

private:
    template <class Predicate>
    void move_among(std::vector<double>& excess,
                    std::vector<double>& spare,
                    const Predicate& is_included)
    {
        double all_excess = 0;
        double all_spare = 0;
        for (std::size_t i = 0; i < m_loads.size(); ++i)
            if (is_included(i))
            {
                all_excess += excess[i];
                all_spare += spare[i];
            }
        if (all_excess <= 0 || all_spare <= 0)
            return;
        const double moved = std::min(all_excess, all_spare);
        for (std::size_t i = 0; i < m_loads.size(); ++i)
            for (std::size_t j = 0; j < m_loads.size(); ++j)
                if (i != j && is_included(i) && is_included(j))
                    add(i, j,
                        moved * (excess[i] / all_excess) *
                            (spare[j] / all_spare));
        for (std::size_t i = 0; i < m_loads.size(); ++i)
            if (is_included(i))
            {
                excess[i] -= moved * excess[i] / all_excess;
                spare[i] -= moved * spare[i] / all_spare;
            }
    }

    void add(std::size_t from, std::size_t to, double slots)
    {
        m_flows[from].planned[to] += slots;
        m_sent[from] += slots;
        m_received[to] += slots;
    }

    std::span<const domain_load> m_loads;
    std::vector<double> m_sent;
    std::vector<double> m_received;
    std::vector<domain_flows> m_flows;
};

/** @return the values of @p value for all domains, none negative. */
template <class Function>
std::vector<double> positive(std::size_t count, const Function& value)
{
    std::vector<double> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back(std::max(0.0, value(i)));
    return all;
}

/** Moves what a domain with hardly any capacity needs so that its callers are
 * served at all while every domain is full. */
void move_minimum(flow_builder& flows, std::span<const domain_load> loads)
{
    double capacity = 0;
    double demand = 0;
    for (const auto& each : loads)
    {
        capacity += each.capacity;
        demand += each.demand;
    }
    if (capacity <= 0 || demand <= capacity)
        return;
    const double min_served = min_served_part * capacity / demand;
    const auto missing = positive(
        loads.size(),
        [&](std::size_t i)
        {
            const double sent = loads[i].demand - flows.kept(i);
            return min_served * loads[i].demand - loads[i].capacity - sent;
        });
    // Taken from all domains that are not short themselves.
    const auto offered =
        positive(loads.size(),
                 [&](std::size_t i) {
                     return missing[i] > 0
                                ? 0
                                : (1 - min_served_part) * loads[i].capacity;
                 });
    for (std::size_t i = 0; i < loads.size(); ++i)
        if (missing[i] > 0)
            flows.mark_short(i);
    flows.move(missing, offered);
}

/** Offers the spare left in domain @p j to calls that are refused elsewhere. */
void offer_further(std::span<const domain_load> loads,
                   std::size_t j,
                   domain_balance& made)
{
    const auto usable = usable_capacity(loads[j].capacity);
    const auto is_pressed = [&](std::size_t i)
    { return loads[i].demand > usable_capacity(loads[i].capacity); };
    double others = 0;
    double pressed = 0;
    for (std::size_t i = 0; i < loads.size(); ++i)
    {
        if (i == j)
            continue;
        others += loads[i].demand;
        pressed += is_pressed(i) ? loads[i].demand : 0;
    }
    // Domains that are both full by the plan are full at different moments.
    const double offered = loads[j].demand < usable
                               ? offered_margins * (loads[j].capacity - usable)
                               : 0;
    for (std::size_t i = 0; i < loads.size(); ++i)
    {
        if (i == j)
            continue;
        auto& further = made.flows[i].further[j];
        if (others > 0)
            further += made.spare[j] * loads[i].demand / others;
        if (is_pressed(i) && pressed > 0)
            further += offered * loads[i].demand / pressed;
    }
}

} // namespace

double usable_capacity(double capacity)
{
    return std::max(0.0, capacity - margin * std::sqrt(capacity));
}

domain_balance balance_domains(std::span<const domain_load> loads)
{
    const auto count = loads.size();
    flow_builder flows(loads);
    const auto usable = [&](std::size_t i)
    { return usable_capacity(loads[i].capacity); };
    const auto spare = [&](std::size_t i)
    { return usable(i) - flows.served(i); };
    flows.move(positive(count, [&](std::size_t i)
                        { return loads[i].demand - usable(i); }),
               positive(count, spare));
    flows.move(positive(count, [&](std::size_t i)
                        { return flows.kept(i) - loads[i].capacity; }),
               positive(count, [&](std::size_t i)
                        { return loads[i].capacity - flows.served(i); }));
    move_minimum(flows, loads);
    domain_balance made;
    made.spare = positive(count, spare);
    made.flows = flows.take_flows();
    for (std::size_t j = 0; j < count; ++j)
        offer_further(loads, j, made);
    return made;
}

} // namespace tillerhall
