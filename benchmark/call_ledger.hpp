/** @file What callers were told, held against what targets ran. */
#pragma once

#include "harness/caller.hpp"
#include "harness/cluster.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tillerhall::bench
{

/** The verdict over all calls of a run. */
struct ledger_verdict
{
    std::int64_t calls = 0;
    std::int64_t good = 0;
    std::int64_t refused = 0; ///< told not run
    std::int64_t unknown = 0; ///< told unknown, or no answer at all
    std::int64_t wrong = 0;   ///< got another call's answer
    std::int64_t doubled = 0; ///< ran more than once, may not be repeated
    std::int64_t not_run_that_ran = 0;
    std::int64_t good_that_did_not_run = 0;
};

/** Notes calls that may not be repeated and settles them at the end. */
class call_ledger
{
public:
    /** Notes the outcome of the call with @p id. */
    void note(const std::string& id, const harness::call_outcome& outcome);

    /** Asks every target what it ran. */
    ledger_verdict settle(harness::cluster& system) const;

private:
    std::map<std::string, harness::call_outcome> m_outcomes;
};

} // namespace tillerhall::bench
