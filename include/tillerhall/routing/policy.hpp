/** @file The ways to choose one target among several, to choose from. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/result.hpp"

#include <span>
#include <string_view>

namespace tillerhall
{

/** What is known of a target when one has to be chosen. */
struct target_standing
{
    std::uint32_t own_in_flight = 0; ///< calls of this node to it
    double owner_load = 0;           ///< owner's last word, of its limit
    double recent_failures = 0;      ///< share of recent calls, 0..1
    double recent_refusals = 0;      ///< share of recent calls, 0..1
    double latency_ms = 0;           ///< recent mean, as seen by this node
    double run_ms = 0;      ///< owner's word on its mean run; 0 unknown
    double slots = 0;       ///< of the target; 0 unknown
    double distance_ms = 0; ///< extra time on the way to it
    double warmth = 1;      ///< 0 cold .. 1 warm
};

/** One way of choosing. Stateless; one object of each kind exists. */
class choice_policy
{
public:
    virtual ~choice_policy() = default;

    virtual std::string_view name() const noexcept = 0;

    /**
     * @param candidates at least one
     * @param turn grows by one with each choice for the same service
     * @return an index into @p candidates.
     */
    virtual std::size_t choose(std::span<const target_standing> candidates,
                               std::uint64_t turn,
                               random_source& random) const = 0;
};

/** @return every policy; the first is the default. */
std::span<const choice_policy* const> policies() noexcept;

/** @return the policy called @p name, or unknown_name listing all. */
result<const choice_policy*> find_policy(std::string_view name);

} // namespace tillerhall
