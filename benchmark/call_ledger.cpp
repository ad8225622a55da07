#include "call_ledger.hpp"

#include <boost/json.hpp>
#include <set>

namespace tillerhall::bench
{

void call_ledger::record(const std::string& id,
                         const harness::call_outcome& outcome)
{
    auto kept = outcome;
    kept.body.clear();
    m_outcomes[id] = std::move(kept);
}

ledger_totals call_ledger::reconcile(harness::cluster& system) const
{
    std::map<std::string, std::int64_t> runs;
    std::set<address> asked;
    for (auto& node : system.nodes())
    {
        if (!asked.insert(node.target).second)
            continue;
        if (const auto counted = system.get(node.target, "/admin/runs"))
            for (const auto& each : *counted)
                if (each.key() != "http_status")
                    runs[each.key()] += each.value().to_number<std::int64_t>();
    }
    ledger_totals totals;
    for (const auto& [id, outcome] : m_outcomes)
    {
        const auto found = runs.find(id);
        const auto ran = found == runs.end() ? 0 : found->second;
        ++totals.calls;
        totals.doubled += ran > 1 ? 1 : 0;
        if (outcome.is_good())
        {
            ++totals.good;
            totals.wrong += outcome.id == id ? 0 : 1;
            totals.good_that_did_not_run += ran == 0 ? 1 : 0;
        }
        else if (outcome.outcome == "not-run")
        {
            ++totals.refused;
            totals.not_run_that_ran += ran != 0 ? 1 : 0;
        }
        else
            ++totals.unknown;
    }
    return totals;
}

} // namespace tillerhall::bench
