/** @file Test whether runs show that a release is not worse than another. */
#pragma once

#include "tillerhall/rollout/release_baseline.hpp"

namespace tillerhall
{

/**
 * Sequential test (Wald 1945), by class of work, of "worse by the margins of
 * `target_regression_test`" against "as good as the stable release". A release
 * passes if its runs are e^`acceptance` times likelier under the second, so
 * about one in a hundred releases that are worse by just the margins passes.
 * A roll-out needs a pass to go on: a release whose fault has not shown yet
 * looks like a good one that gets few calls. Sums are bounded, so a release
 * that turns bad soon ceases to pass. Does no I/O.
 */
class noninferiority_test
{
public:
    static constexpr double acceptance = 4.6; ///< log-likelihood ratio
    static constexpr double max_sum = acceptance + 2;

    /** Adds new runs at a target of the release. */
    void add(const counts_by_class& new_runs, const release_baseline& baseline);

    noninferiority_test& operator+=(const noninferiority_test& other);

    std::uint32_t runs() const;

    /** @return whether the runs of @p work show that the release is
     * non-inferior to @p baseline. */
    bool passes(const work_class& work, const release_baseline& baseline) const;

    /**
     * @return how many bad runs there are beyond those expected at the stable
     * release's share plus three standard deviations; may be negative.
     */
    double excess_bad_runs() const;

private:
    struct totals
    {
        /** Log-likelihood ratios of being worse. */
        double failing = 0;
        double slow = 0;
        double tail = 0;
        std::uint32_t ended = 0;
        std::uint32_t bad = 0;   ///< failed, or in the tail
        double expected_bad = 0; ///< at the stable release's share
        double variance = 0;     ///< of the number of bad runs
    };

    std::map<work_class, totals> m_totals;
};

} // namespace tillerhall
