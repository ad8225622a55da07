/** @file The active runs at a target, and the calls that they make. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/http/whole_message.hpp"
#include "tillerhall/routing/dependency_limiter.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** What the calls that a run makes inherit from it. */
struct run_terms
{
    std::uint32_t queue_rank = 0;       ///< rank in the queues of owners
    time_point due = time_point::max(); ///< end of the run's objective
};

/**
 * Finds the run that made a call. Targets may name a call that they make by
 * the id of the run, a dot and a suffix, as tracing does; with other ids no
 * run is found. For fibers of one worker.
 */
class run_registry
{
    struct entry
    {
        work_class work;
        const whole_request* request;
        std::optional<run_terms> terms;
        bool nested_call_failed = false;
        nested_calls calls; ///< made so far
    };
    using run_map = std::multimap<std::string, entry, std::less<>>;

public:
    /** Registers a run for the lifetime of the object. */
    class run
    {
    public:
        /** @param request must outlive the run */
        run(run_registry& in,
            std::string id,
            const work_class& work,
            const whole_request& request,
            const std::optional<run_terms>& terms = std::nullopt)
            : m_in(in)
            , m_at(in.m_runs.emplace(std::move(id),
                                     entry{work, &request, terms}))
        {
        }
        ~run() { m_in.m_runs.erase(m_at); }

        /** @return whether a call that the run made has failed. */
        bool nested_call_failed() const
        {
            return m_at->second.nested_call_failed;
        }

        /** @return the calls that the run has made. */
        const nested_calls& calls() const { return m_at->second.calls; }

        run(const run&) = delete;
        run& operator=(const run&) = delete;

    private:
        run_registry& m_in;
        run_map::iterator m_at;
    };

    /** @return the work class of the run that made the call @p id, if any. */
    std::optional<work_class> parent_of(std::string_view id);

    /** @return the terms of the run that made the call @p id, if known. */
    std::optional<run_terms> parent_terms(std::string_view id);

    /** Counts a call to @p service for the run that made the call @p id.
     * @return whether that run is active */
    bool call_made(std::string_view id, const std::string& service);

    /** Marks the run that made the call @p id: one of its calls failed. */
    void call_failed(std::string_view id);

    /** @return the requests of the active runs. */
    std::vector<const whole_request*> active_requests() const;

    /** @return whether an id has ever named a run here. */
    bool ids_name_parents() const noexcept { return m_ids_name_parents; }

private:
    run_map::iterator find_parent(std::string_view id);

    run_map m_runs;
    bool m_ids_name_parents = false;
};

} // namespace tillerhall
