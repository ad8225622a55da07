#include "tillerhall/routing/policy.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace tillerhall
{
namespace
{

// A failed target costs as much as one with this many calls in flight.
constexpr double failure_weight = 20;
// A fully loaded owner costs as much as this many calls in flight.
constexpr double load_weight = 8;
constexpr double min_warmth = 0.1;

/** @return the relative cost of one more call. */
double cost_of(const target_stats& target)
{
    const double waiting =
        1 + target.own_in_flight + load_weight * target.owner_load;
    const double time = 1 + target.latency_ms;
    const double failing = 1 + failure_weight * target.recent_failures;
    return waiting * time * failing / std::max(min_warmth, target.warmth);
}

/** Takes the better of two random candidates (Mitzenmacher, IEEE TPDS 2001). */
class two_choices_policy : public choice_policy
{
public:
    std::string_view name() const noexcept override { return "two_choices"; }
    std::size_t choose(std::span<const target_stats> candidates,
                       std::uint64_t,
                       random_source& random) const override
    {
        const auto count = candidates.size();
        const auto first = random.below(count);
        if (count == 1)
            return first;
        const auto second = (first + 1 + random.below(count - 1)) % count;
        return cost_of(candidates[first]) <= cost_of(candidates[second])
                   ? first
                   : second;
    }
};

/**
 * Takes the candidate with the least expected time for one more call: the
 * reported mean run time, scaled by the owner's load and the calls this node
 * has sent since, plus the distance. Load reports of all owners are about the
 * same mix of calls, so they can be compared where this node's own few samples
 * could not.
 */
class least_time_policy : public choice_policy
{
public:
    std::string_view name() const noexcept override { return "least_time"; }
    std::size_t choose(std::span<const target_stats> candidates,
                       std::uint64_t,
                       random_source& random) const override
    {
        const auto typical = typical_run(candidates);
        std::size_t best = 0;
        double min_time = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i)
        {
            // Noise, so that nodes with the same view choose differently.
            const double noise = 1 + choice_noise * random.unit();
            const double time = expected_ms(candidates[i], typical) * noise;
            if (i != 0 && time >= min_time)
                continue;
            best = i;
            min_time = time;
        }
        return best;
    }

private:
    static constexpr double choice_noise = 0.1;
    // A target slows down before it is full; from `queue_from` on calls queue.
    static constexpr double busy_slope = 0.3;
    static constexpr double queue_from = 0.85;
    static constexpr double queue_slope = 3;
    static constexpr double unknown_run_ms = 100;

    static double typical_run(std::span<const target_stats> candidates)
    {
        double sum = 0;
        double count = 0;
        for (const auto& each : candidates)
            if (each.run_ms > 0)
            {
                sum += each.run_ms;
                count += 1;
            }
        return count > 0 ? sum / count : unknown_run_ms;
    }

    static double expected_ms(const target_stats& target, double typical)
    {
        const double run = target.run_ms > 0 ? target.run_ms : typical;
        const double own =
            target.slots > 0 ? target.own_in_flight / target.slots : 0;
        const double load = std::max(target.owner_load, own);
        const double stretch = 1 + busy_slope * load * load +
                               queue_slope * std::max(0.0, load - queue_from);
        const double failing = 1 + failure_weight * (target.recent_failures +
                                                     target.recent_refusals);
        return run * stretch * failing + target.distance_ms;
    }
};

/** Takes the candidates one after the other. */
class round_robin_policy : public choice_policy
{
public:
    std::string_view name() const noexcept override { return "round_robin"; }
    std::size_t choose(std::span<const target_stats> candidates,
                       std::uint64_t sequence,
                       random_source&) const override
    {
        return sequence % candidates.size();
    }
};

/** Takes the candidate with the fewest calls of this node in flight. */
class least_in_flight_policy : public choice_policy
{
public:
    std::string_view name() const noexcept override
    {
        return "least_in_flight";
    }
    std::size_t choose(std::span<const target_stats> candidates,
                       std::uint64_t sequence,
                       random_source&) const override
    {
        // Ties are broken in rotation, or the first would take them all.
        std::size_t best = sequence % candidates.size();
        for (std::size_t i = 0; i < candidates.size(); ++i)
            if (candidates[i].own_in_flight < candidates[best].own_in_flight)
                best = i;
        return best;
    }
};

const two_choices_policy two_choices;
const least_time_policy least_time;
const round_robin_policy round_robin;
const least_in_flight_policy least_in_flight;

constexpr std::array<const choice_policy*, 4> policy_list{
    &two_choices, &round_robin, &least_in_flight, &least_time};

} // namespace

std::span<const choice_policy* const> policies() noexcept
{
    return policy_list;
}

result<const choice_policy*> find_policy(std::string_view name)
{
    const auto found =
        std::ranges::find(policy_list, name, &choice_policy::name);
    if (found != policy_list.end())
        return *found;
    std::string known = "choose one of:";
    for (const auto* each : policy_list)
        known += " " + std::string(each->name());
    return error(error_code::unknown_name,
                 "unknown policy \"" + std::string(name) + "\"", known);
}

} // namespace tillerhall
