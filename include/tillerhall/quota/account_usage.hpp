/** @file What accounts have spent and how often they were refused. */
#pragma once

#include "tillerhall/quota/quota_message.hpp"
#include "tillerhall/routing/client_accounts.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tillerhall
{

/** One account, for operators; never holds a key. */
struct account_usage_row
{
    std::string account;
    account_quota quota;
    std::int64_t spent = 0;
    std::int64_t refused = 0;
};

/**
 * Sums the counts that a ledger receives, by account. Accounts without a quota
 * are not counted. Does no I/O.
 */
class account_usage
{
public:
    /** Limit of the rows of one answer: some 20 KB, three seconds of the
     * control bytes of a node. */
    static constexpr std::size_t max_rows = 200;

    /** Sets the accounts of the version in force; others are forgotten. */
    void set_accounts(const std::vector<client_account>& accounts);

    void add(const std::vector<quota_counts>& counts);

    /** @return up to @p limit accounts, at most `max_rows`: the most refused
     * first, then those that spent most. @param name only this account, unless
     * empty */
    std::vector<account_usage_row> rows(std::size_t limit,
                                        const std::string& name = {}) const;

    /** @return the number of accounts. */
    std::size_t size() const noexcept { return m_rows.size(); }

private:
    std::map<std::string, account_usage_row> m_rows;
};

} // namespace tillerhall
