/** @file Counts how runs at a target ended, for the comparison of releases. */
#pragma once

#include "tillerhall/proxy/owner_answer.hpp"
#include "tillerhall/rollout/run_counts.hpp"

#include <string>

namespace tillerhall
{

/** What is known of a run besides its answer. */
struct run_context
{
    duration took{};
    bool is_cold = false;            ///< the target had just started
    bool nested_call_failed = false; ///< a call that the run made failed
};

/** Counts the runs of the target's current start; for fibers of one worker. */
class run_statistics
{
public:
    /** Sets the id of the target's current start. A new id resets the counts,
     * so that the runs of one start are never attributed to another. */
    void set_target(const std::string& id);

    /** Counts a call accepted for the start @p id, which becomes the current
     * one. */
    void run_started(const std::string& id);

    /**
     * Counts the end of a run of the start @p id. Ignores runs that say nothing
     * about the target: calls that did not run, calls whose client left, runs
     * that failed after a nested call had failed at another service, and runs
     * of an earlier start.
     */
    void run_finished(const std::string& id,
                      const work_class& work,
                      const owner_answer& answer,
                      const run_context& context);

    std::uint64_t started_count() const noexcept { return m_started; }
    const counts_by_class& counts() const noexcept { return m_counts; }

private:
    std::string m_target_id;
    std::uint64_t m_started = 0;
    counts_by_class m_counts;
};

} // namespace tillerhall
