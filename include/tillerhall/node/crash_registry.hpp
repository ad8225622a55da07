/** @file Reports which calls were running at the target when it crashed, on a
 * node that routes by the operators' table. */
#pragma once

#include "tillerhall/membership/good_run.hpp"
#include "tillerhall/membership/target_crash.hpp"
#include "tillerhall/proxy/recent_runs.hpp"
#include "tillerhall/routing/poison_calls.hpp"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <mutex>
#include <optional>

namespace tillerhall
{

class inbound_call;

/** @return the part of @p call that its fingerprint is computed from; of a long
 * body the first 64 KB. */
whole_request fingerprinted_part(const inbound_call& call);

/** @return the quarantine of @p call, or nullopt if it may run. */
std::optional<call_quarantine> active_quarantine(const poison_calls& known,
                                                 const inbound_call& call);

/**
 * Reports the calls that were running when the target crashed, and those of
 * them that later run well. Used by all workers; its lock is a leaf in the lock
 * order.
 */
class crash_registry
{
public:
    /** Called on any worker with a report for the other nodes. */
    struct callbacks
    {
        std::function<void(const target_crash&)> crashed;
        std::function<void(const good_run&)> ran_well;
    };

    /** Registers a run during its lifetime. */
    class run : public boost::intrusive::list_base_hook<
                    boost::intrusive::link_mode<boost::intrusive::normal_link>>
    {
    public:
        /** @param call must have read the prefix of its body; must outlive the
         * run */
        run(crash_registry& in, const inbound_call& call);
        ~run();

        run(const run&) = delete;
        run& operator=(const run&) = delete;

        const inbound_call& call() const noexcept { return m_call; }

    private:
        crash_registry& m_in;
        const inbound_call& m_call;
    };

    void set_callbacks(callbacks actions) { m_callbacks = std::move(actions); }

    /** Call when @p target refuses connections after a call to it was lost. */
    void target_crashed(const std::string& target);

    /** Call when @p call has succeeded. */
    void ran_well(const inbound_call& call, const poison_calls& known);

private:
    std::optional<target_crash> crash_of(const std::string& target);

    std::mutex m_mutex;
    boost::intrusive::list<run> m_runs;
    recent_runs m_ran_well;
    time_point m_crashed_at{};
    callbacks m_callbacks;
};

} // namespace tillerhall
