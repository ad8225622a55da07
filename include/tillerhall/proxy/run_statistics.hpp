/** @file How the runs at a target ended, told to compare releases by. */
#pragma once

#include "tillerhall/proxy/owner_answer.hpp"
#include "tillerhall/rollout/run_counts.hpp"

#include <string>

namespace tillerhall
{

/** How one run ended, beside its answer. */
struct run_context
{
    duration took{};
    bool is_cold = false;            ///< the target is slow from its start
    bool nested_call_failed = false; ///< a call that the run made got no answer
};

/** Counts runs of the target's present start; for fibers of one worker. */
class run_statistics
{
public:
    /** The target @p id is in use; another id begins anew, so that no start of
     * a target is told the runs of an earlier one. */
    void set_target(const std::string& id);

    /** A call is taken for the target @p id. */
    void run_started(const std::string& id);

    /**
     * One of the target @p id ended. Not counted is what says nothing of the
     * target: it did not run, the client left, or the run failed after a call
     * that it made had failed, which is the doing of another service; nor a run
     * of an earlier start than the one in use.
     */
    void run_finished(const std::string& id,
                      const work_class& work,
                      const owner_answer& answer,
                      const run_context& context);

    std::uint64_t taken_count() const noexcept { return m_started; }
    const counts_by_class& counts() const noexcept { return m_counts; }

private:
    std::string m_target_id;
    std::uint64_t m_started = 0;
    counts_by_class m_counts;
};

} // namespace tillerhall
