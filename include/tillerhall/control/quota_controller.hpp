/** @file Tells ledgers what accounts spend, and entries what may pass. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/quota/limit_news.hpp"
#include "tillerhall/quota/quota_gate.hpp"
#include "tillerhall/quota/quota_ledger.hpp"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * The best reader of each failure domain keeps a ledger. Entries report theirs
 * what came, a few times a second or once where nothing did, and hear what is
 * limited; ledgers report each other their domain's totals, and their domain at
 * once when an account becomes limited. Without accounts nothing is sent. Runs
 * on the first worker.
 */
class quota_controller
{
public:
    quota_controller(mesh_state& mesh, quota_gate& gate);

    void add_methods();
    void start();

private:
    void report_loop();
    /** Tells the first ledger that answers, that of this domain first. */
    void report(const std::vector<quota_counts>& counts);
    void exchange_loop();
    void exchange();

    boost::json::object on_counts(const boost::json::object& params);
    boost::json::object on_totals(const boost::json::object& params);
    boost::json::object on_limits(const boost::json::object& params);

    /** Takes counts of this domain's entries. @return what is limited. */
    std::vector<quota_limit>
    add_counts(const std::vector<quota_counts>& counts);
    /** Takes the accounts of the version in force into the ledger. */
    void refresh_accounts();
    /** Tells the domain's entries when more is limited than they know. */
    void broadcast_limits();
    void send_limits(const std::vector<quota_limit>& limits,
                     const key_range& range);
    /** @return ledgers, that of this node's failure domain first. */
    std::vector<address> ledgers() const;
    duration report_interval() const;

    mesh_state& m_mesh;
    quota_gate& m_gate;
    quota_ledger m_ledger;
    std::uint64_t m_version = 0; ///< of the accounts in the ledger
    std::map<std::string, quota_counts>
        m_unsent_totals; ///< not told to other ledgers
    limit_news m_limit_changes;
};

} // namespace tillerhall
