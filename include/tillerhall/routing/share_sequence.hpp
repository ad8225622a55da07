/** @file Distributes a route's calls over its services by weight. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/routing/call_route.hpp"

#include <map>
#include <string>

namespace tillerhall
{

/**
 * A golden-ratio sequence for each route: any run of consecutive calls is
 * spread evenly over the unit interval, so weights are also kept over short
 * spans, where independent random draws would deviate (Kuipers and
 * Niederreiter, Uniform Distribution of Sequences, 1974). Does no I/O; not
 * thread-safe.
 */
class share_sequence
{
public:
    /**
     * @param start in [0, 1); must differ between nodes, so that they do not
     * choose the same service at the same time
     */
    explicit share_sequence(double start)
        : m_start(start)
    {
    }

    /** @return the service of @p route for its next call. */
    const std::string& next(const call_route& route);

private:
    double m_start;
    std::map<std::string, double> m_points; ///< by route name
};

/** @return where the sequences of the node @p own start, in [0, 1); differs
 * between nodes. */
double share_start(const address& own);

} // namespace tillerhall
