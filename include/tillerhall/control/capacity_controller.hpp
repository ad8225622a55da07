/** @file Exchanges the capacity of services between failure domains. */
#pragma once

#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/proxy/entry_capacity.hpp"
#include "tillerhall/proxy/target_owner.hpp"
#include "tillerhall/routing/capacity_ledger.hpp"
#include "tillerhall/routing/flow_log.hpp"

#include <set>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * Nodes report capacity and demand to the best reader of their failure domain,
 * several times a second, and get the sums of all domains in the answer, from
 * which each entry derives its plan. Readers exchange the sums of their
 * domains. If a reader does not answer, the second-best of its domain takes its
 * place. Nothing is sent about services whose capacity is not balanced. Runs on
 * the first worker.
 */
class capacity_controller
{
public:
    capacity_controller(mesh_state& mesh,
                        const target_owner& owner,
                        entry_capacity& entry);

    void add_methods();
    void start();

private:
    void report_loop();
    void report();
    capacity_report make_report();
    /** @return whether @p reader has answered. */
    bool report_to(const address& reader, const capacity_report& sent);
    void use_answer(const capacity_answer& answer);

    void exchange_loop();
    void exchange();
    /** Sends sums to the first of @p readers that answers. */
    void send_sums(const std::vector<address>& readers,
                   const boost::json::object& sent);
    void log_flows(const capacity_view& view);

    boost::json::object on_report(const boost::json::object& params);
    boost::json::object on_sums(const boost::json::object& params);
    capacity_answer take_report(capacity_report report);
    /** @return whether @p node is known to be at @p place. */
    bool is_from(const address& node, const member_place& place);
    /** Logs once and counts figures that are not used. */
    void note_ignored(std::size_t count, const address& from);

    /** Updates what depends on the member list only. */
    void refresh_members();
    bool is_service_balanced(const std::string& service) const;
    /** @return whether enough domains are known for a plan. */
    bool has_sums(const std::vector<domain_sums>& domains) const;
    std::vector<address> own_readers() const;
    duration report_interval() const;
    duration exchange_interval(std::size_t services) const;

    mesh_state& m_mesh;
    const target_owner& m_owner;
    entry_capacity& m_entry;
    capacity_ledger m_ledger;
    flow_log m_flows;
    std::uint64_t m_sequence;
    time_point m_reported_at{};
    bool m_has_noted_ignored = false;
    bool m_is_reading = false; ///< has reports of other nodes, or its own
    std::uint64_t m_member_changes = 0; ///< at the last refresh
    std::map<member_place, std::vector<address>> m_readers;
    std::set<std::string> m_balanced; ///< services
    std::set<member_place> m_places;  ///< with targets of those
    std::int64_t m_own_nodes = 1;
};

} // namespace tillerhall
