/** @file Compares the outcomes that callers got with the runs at targets. */
#pragma once

#include "harness/caller.hpp"
#include "harness/cluster.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tillerhall::bench
{

/** Totals over all calls of an experiment. */
struct ledger_totals
{
    std::int64_t calls = 0;
    std::int64_t good = 0;
    std::int64_t refused = 0; ///< outcome "not run"
    std::int64_t unknown = 0; ///< outcome unknown, or no answer at all
    std::int64_t wrong = 0;   ///< response of another call
    std::int64_t doubled = 0; ///< ran more than once
    std::int64_t not_run_that_ran = 0;
    std::int64_t good_that_did_not_run = 0;
};

/** Records non-idempotent calls and compares them with the targets' runs. */
class call_ledger
{
public:
    /** Records the outcome of the call with @p id . */
    void record(const std::string& id, const harness::call_outcome& outcome);

    /** Queries the run counts of every target and compares. */
    ledger_totals reconcile(harness::cluster& system) const;

private:
    std::map<std::string, harness::call_outcome> m_outcomes;
};

} // namespace tillerhall::bench
