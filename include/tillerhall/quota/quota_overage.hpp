/** @file The tolerated overage of quotas. */
#pragma once

namespace tillerhall
{

/** Limit on the calls of an account beyond its quota in a window. */
struct quota_overage
{
    /** Part that is added to the buckets of ledgers. The rest covers calls
     * admitted before a ledger has their counts, and at nodes that reach no
     * ledger. */
    static constexpr double ledger_part = 0.5;

    double share = 0.1; ///< of the calls its quota allows in the window
    double calls = 20;  ///< in addition
};

} // namespace tillerhall
