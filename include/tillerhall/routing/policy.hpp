/** @file Policies that choose one target among several. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/result.hpp"

#include <span>
#include <string_view>

namespace tillerhall
{

/** What is known of a target that may be chosen. */
struct target_stats
{
    std::uint32_t own_in_flight = 0; ///< calls of this node to it
    double owner_load = 0;      ///< last reported load, as a share of its slots
    double recent_failures = 0; ///< share of recent calls, 0..1
    double recent_refusals = 0; ///< share of recent calls, 0..1
    double latency_ms = 0;      ///< decaying mean, as seen by this node
    double run_ms = 0;          ///< reported mean run time; 0: unknown
    double slots = 0;           ///< slots of the target; 0: unknown
    double distance_ms = 0;     ///< extra time to reach it
    double warmth = 1;          ///< 0: cold, 1: warm
};

/** A policy. Stateless; one object of each kind exists. */
class choice_policy
{
public:
    virtual ~choice_policy() = default;

    virtual std::string_view name() const noexcept = 0;

    /**
     * @param candidates at least one
     * @param sequence number of the choice, increases by one with each
     * @return an index into @p candidates.
     */
    virtual std::size_t choose(std::span<const target_stats> candidates,
                               std::uint64_t sequence,
                               random_source& random) const = 0;
};

/** @return all policies; the first is the default. */
std::span<const choice_policy* const> policies() noexcept;

/**
 * @return the policy called @p name, or an unknown_name error that lists all
 * policies.
 */
result<const choice_policy*> find_policy(std::string_view name);

} // namespace tillerhall
