/** @file Exchanges usage counts and limits between entries and ledgers. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/observe/refusal_periods.hpp"
#include "tillerhall/quota/account_usage.hpp"
#include "tillerhall/quota/quota_gate.hpp"
#include "tillerhall/quota/quota_ledger.hpp"
#include "tillerhall/quota/quota_limit_changes.hpp"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * The best reader of each failure domain keeps a ledger. Entries send it their
 * counts several times a second (less often without counts and limits) and
 * receive the limits in the answer. Ledgers exchange the totals of their
 * domains and broadcast to their own domain when an account becomes limited.
 * Nothing is sent if no accounts are configured. Runs on the first worker.
 */
class quota_controller
{
public:
    quota_controller(mesh_state& mesh, quota_gate& gate);

    void add_methods();
    void start();

    /**
     * @param limit of the accounts listed; at most `account_usage::max_rows`
     * @param name only this account, unless empty
     * @return the accounts as the first ledger that answers knows them, for
     * operators; an error if none does.
     */
    result<boost::json::object> describe_accounts(std::size_t limit,
                                                  const std::string& name);

private:
    void report_loop();
    /** Sends counts to the first ledger that answers, this domain's first. */
    void report(const std::vector<quota_counts>& counts);
    void exchange_loop();
    void exchange();

    boost::json::object on_counts(const boost::json::object& params);
    boost::json::object on_totals(const boost::json::object& params);
    boost::json::object on_limits(const boost::json::object& params);
    boost::json::object on_accounts(const boost::json::object& params);

    /** Adds counts of this domain's entries. @return the limits in force. */
    std::vector<quota_limit>
    add_counts(const std::vector<quota_counts>& counts);
    /** Logs accounts whose refusals begin with @p counts. */
    void note_refusals(const std::vector<quota_counts>& counts, time_point now);
    /** Logs accounts whose refusals have ended. */
    void note_ended_refusals();
    /** Logs when this entry loses all ledgers and when it reaches one again. */
    void note_ledger_state();
    /** Copies the accounts of the version in force into the ledger. */
    void refresh_accounts();
    /** Sends the limits to the domain's entries if one is new or much lower. */
    void broadcast_limits();
    void send_limits(const std::vector<quota_limit>& limits,
                     const key_range& range);
    /** Returns all ledgers, that of this node's failure domain first. */
    std::vector<address> ledgers() const;
    duration report_interval() const;

    mesh_state& m_mesh;
    quota_gate& m_gate;
    quota_ledger m_ledger;
    account_usage m_usage; ///< since this node counts for its domain
    std::optional<time_point> m_counts_since;
    refusal_periods m_refusals;
    bool m_is_cut_off = false;   ///< from the ledgers, as logged
    std::uint64_t m_version = 0; ///< of the accounts in the ledger
    std::map<std::string, quota_counts>
        m_unsent_totals; ///< not yet sent to other ledgers
    quota_limit_changes m_limit_changes;
};

} // namespace tillerhall
