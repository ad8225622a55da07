/** @file Admission of accounts' calls at an entry by their quotas. */
#pragma once

#include "tillerhall/core/random.hpp"
#include "tillerhall/core/token_bucket.hpp"
#include "tillerhall/quota/quota_message.hpp"
#include "tillerhall/quota/quota_overage.hpp"
#include "tillerhall/routing/client_accounts.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * Counts the calls of accounts at an entry and admits the share that a ledger
 * sent. While no ledger answers, other entries may use the whole quota, so this
 * one admits only an equal part of the overage that is not in the ledgers'
 * buckets, starting without tokens. Does no I/O.
 */
class quota_gate
{
public:
    /** Time without an answer after which no ledger counts as reachable. */
    static constexpr std::chrono::seconds ledger_timeout{2};
    /** Calls of `take_due_counts` between messages without counts. */
    static constexpr unsigned idle_report_period = 4;

    quota_gate(const quota_overage& overage, std::uint64_t seed)
        : m_overage(overage)
        , m_random(seed)
    {
    }

    /**
     * Counts a call of @p account.
     * @param nodes live nodes, this one included
     * @return nothing if the call is admitted; else the time after which its
     * client may retry.
     */
    std::optional<duration>
    admit(const client_account& account, std::size_t nodes, time_point now);

    /** Reverses the count of an admitted call that reached no target. */
    void give_back(const client_account& account);

    /**
     * Called a few times a second. @return the counts to send to a ledger;
     * nothing if no message is due. Without counts or limits one is due at each
     * `idle_report_period`-th call, which shows whether a ledger is reachable.
     */
    std::optional<std::vector<quota_counts>> take_due_counts();

    /** @return the counts since the last message, for a ledger. */
    std::vector<quota_counts> take_counts();

    /** Adds back counts that no ledger received. */
    void restore(const std::vector<quota_counts>& counts);

    /** Sets the limits that a ledger sent; other accounts have none. */
    void set_limits(const std::vector<quota_limit>& limits);

    /** Records that no ledger answered. */
    void note_unanswered(time_point now);

    /** @return whether no ledger counts as reachable. */
    bool is_cut_off(time_point now) const;

private:
    std::optional<duration> admit_without_ledger(const client_account& account,
                                                 std::size_t nodes,
                                                 time_point now);
    /** @return a randomized time until the client may retry. */
    duration retry_after(const quota_limit& limit);

    quota_overage m_overage;
    std::map<std::string, quota_counts> m_counts;
    std::map<std::string, quota_limit> m_limits;
    std::map<std::string, token_bucket> m_own_buckets; ///< while cut off
    std::optional<time_point> m_unanswered_since;
    unsigned m_idle_calls = 0; ///< calls of `take_due_counts` without counts
    random_source m_random;
};

} // namespace tillerhall
