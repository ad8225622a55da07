/** @file Balances a service's demand over the capacity of failure domains. */
#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace tillerhall
{

/** Capacity and demand of one service in one failure domain, in slots. */
struct domain_load
{
    double capacity = 0; ///< usable slots of the domain's targets
    double demand = 0;   ///< calls/s times expected run of the domain's callers
    std::size_t region = 0; ///< equal for domains of one region
};

/** What the callers of one domain may send to the others, in slots. */
struct domain_flows
{
    std::vector<double> planned; ///< by receiving domain; 0 for the own one
    std::vector<double> further; ///< spare for calls that the own domain
                                 ///< refuses, by domain
    /** The domain has far less capacity than all others while these are full;
     * its calls have the same claim as those of the domains that run them. */
    bool is_short = false;
};

/** The balance of one service; indexes are those of the given loads. */
struct domain_balance
{
    std::vector<domain_flows> flows; ///< by sending domain
    std::vector<double> spare;       ///< left in each domain after the flows
};

/**
 * The load it answers: the demand of failure domains is uneven, or some have
 * lost targets, while traffic between domains is expensive. Only the demand
 * beyond the usable capacity of a domain crosses, and only into spare that
 * another domain does not need for its own callers. If all are full, nothing
 * crosses. Deterministic, so that every reader derives the same from the same
 * sums. Does no I/O.
 *
 * The usable capacity of n slots is n less `margin` * sqrt(n), as in
 * square-root staffing (Halfin and Whitt, 1981): small pools need a larger part
 * free for the same wait. A domain whose demand exceeds its slots may also use
 * the margin of others: their own calls go first at their owners, so they lose
 * almost nothing, and a margin left idle would be work not done.
 */
domain_balance balance_domains(std::span<const domain_load> loads);

/** @return the slots of @p capacity that callers can use without waiting
 * long. */
double usable_capacity(double capacity);

} // namespace tillerhall
