#include "call_ledger.hpp"

#include <boost/json.hpp>
#include <set>

namespace tillerhall::bench
{

void call_ledger::note(const std::string& id,
                       const harness::call_outcome& outcome)
{
    auto kept = outcome;
    kept.body.clear();
    m_outcomes[id] = std::move(kept);
}

ledger_verdict call_ledger::settle(harness::cluster& system) const
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
    ledger_verdict verdict;
    for (const auto& [id, outcome] : m_outcomes)
    {
        const auto found = runs.find(id);
        const auto ran = found == runs.end() ? 0 : found->second;
        ++verdict.calls;
        verdict.doubled += ran > 1 ? 1 : 0;
        if (outcome.is_good())
        {
            ++verdict.good;
            verdict.wrong += outcome.id == id ? 0 : 1;
            verdict.good_that_did_not_run += ran == 0 ? 1 : 0;
        }
        else if (outcome.outcome == "not-run")
        {
            ++verdict.refused;
            verdict.not_run_that_ran += ran != 0 ? 1 : 0;
        }
        else
            ++verdict.unknown;
    }
    return verdict;
}

} // namespace tillerhall::bench
