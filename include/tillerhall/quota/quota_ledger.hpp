/** @file Token buckets of accounts over all nodes. */
#pragma once

#include "tillerhall/quota/quota_message.hpp"
#include "tillerhall/quota/quota_overage.hpp"
#include "tillerhall/routing/client_accounts.hpp"

#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * Limits an account that sends far more than its quota through all nodes,
 * without a request to a ledger for each call. Entries admit calls and send
 * their counts a few times a second. The bucket of an account goes below zero
 * when too much was admitted; the ledger answers with the share of calls that
 * brings it back to zero within a second. So the calls admitted in a window are
 * at most burst and rate plus what is admitted during one delay of the counts.
 *
 * Half of the overage is in the buckets, the other half covers that delay. A
 * new ledger does not know earlier counts, so its buckets start with the tokens
 * of one second. Does no I/O.
 */
class quota_ledger
{
public:
    explicit quota_ledger(quota_overage overage = {})
        : m_overage(overage)
    {
    }

    /** Sets the accounts of the active configuration version; changed quotas
     * apply at once. */
    void set_accounts(const std::vector<client_account>& accounts,
                      time_point now);

    /** Adds counts of entries, or of ledgers of other failure domains. */
    void add(const std::vector<quota_counts>& counts, time_point now);

    /** @return limits of the accounts whose calls are not all admitted now. */
    std::vector<quota_limit> limits(time_point now) const;

    /** @return the level of an account's bucket, for other ledgers. */
    std::optional<double> level(const std::string& account,
                                time_point now) const;

private:
    struct bucket
    {
        account_quota quota;
        double level = 0;
        double requested_per_s = 0; ///< decaying
        double admitted_per_s = 0;  ///< decaying
        time_point updated_at{};    ///< of the values above
    };

    double rate_of(const bucket& state) const noexcept;
    double capacity_of(const bucket& state) const noexcept;
    /** @return the bucket as it is at @p now. */
    bucket advanced_to(const bucket& state, time_point now) const;
    /** @return the share of its calls to admit. */
    static double admitted_share(double rate, const bucket& state);

    quota_overage m_overage;
    std::map<std::string, bucket> m_buckets; ///< limited accounts only
};

} // namespace tillerhall
