/** @file Sums of capacity and demand, kept by the readers of the domains. */
#pragma once

#include "tillerhall/routing/capacity_message.hpp"

#include <map>

namespace tillerhall
{

/**
 * The reports of one failure domain's nodes and the sums of the other domains.
 * Of a domain with two readers that each have a part of its nodes, the sums of
 * more nodes count. Old figures are dropped, so that a node or domain that
 * does not answer counts as having neither capacity nor demand. Does no I/O.
 */
class capacity_ledger
{
public:
    /** Reports, sums and plans older than this are dropped. */
    static constexpr milliseconds max_age{2'000};

    /** @param node the reader that keeps the ledger */
    capacity_ledger(member_place own, address node)
        : m_own(std::move(own))
        , m_node(std::move(node))
    {
    }

    /** Sets how long reports of this domain's nodes are valid: `max_age`, more
     * if they are sent rarely. */
    void set_report_age(duration age) { m_report_age = age; }

    /** @return false if @p report is older than the known one, or equal. */
    bool take_report(capacity_report report, time_point now);

    /** @return false if @p sums are older than the known ones, or equal. */
    bool take_sums(domain_sums sums, time_point now);

    /** @return whether any node has reported within the last time. */
    bool has_reports(time_point now) const;

    /** @return the sums of this domain. */
    domain_sums own_sums(time_point now) const;

    /** @return the sums of all domains, this one first, with their ages. */
    std::vector<domain_sums> all(time_point now) const;

    /** @return the answer to @p report: the sums of its services. */
    capacity_answer answer(const capacity_report& report, time_point now) const;

private:
    struct kept_report
    {
        capacity_report report;
        time_point at{};
    };

    struct kept_sums
    {
        domain_sums sums;
        time_point at{}; ///< when they were current
    };

    member_place m_own;
    address m_node;
    duration m_report_age = max_age;
    std::map<address, kept_report> m_reports;
    std::map<member_place, std::map<address, kept_sums>> m_others;
};

} // namespace tillerhall
