/** @file Log-likelihood ratio of two shares of bad runs. */
#pragma once

#include <cmath>
#include <cstdint>

namespace tillerhall
{

/** Above this share of bad runs no increase by a margin is tested. */
inline constexpr double max_testable_share = 0.95;

/**
 * @param runs all runs
 * @param bad_runs those of @p runs that were bad
 * @return the log-likelihood ratio of "the share of bad runs is @p baseline +
 * @p margin" against "it is @p baseline". Positive values favour the greater
 * share; zero if the sum exceeds `max_testable_share`.
 */
inline double log_likelihood_ratio(std::uint32_t runs,
                                   std::uint32_t bad_runs,
                                   double baseline,
                                   double margin)
{
    const double worse = baseline + margin;
    if (worse > max_testable_share)
        return 0;
    const double for_bad = std::log(worse / baseline);
    const double for_good = std::log((1 - worse) / (1 - baseline));
    return bad_runs * for_bad + (runs - bad_runs) * for_good;
}

} // namespace tillerhall
