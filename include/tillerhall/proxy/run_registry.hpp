/** @file The runs under way at a target: which they are, what they call. */
#pragma once

#include "tillerhall/http/whole_message.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/**
 * Tells which run made a call. A target that makes a call in the course of a
 * run may name it by the run's own id, a dot and more, as tracing does. Where
 * targets name their calls otherwise nothing is told. For fibers of one worker.
 */
class run_registry
{
    struct entry
    {
        work_class work;
        const whole_request* request;
        bool nested_call_failed = false;
    };
    using run_map = std::multimap<std::string, entry, std::less<>>;

public:
    /** Registers a run for as long as it lives. */
    class run
    {
    public:
        /** @param request outlives the run */
        run(run_registry& in,
            std::string id,
            const work_class& work,
            const whole_request& request)
            : m_in(in)
            , m_at(in.m_runs.emplace(std::move(id), entry{work, &request}))
        {
        }
        ~run() { m_in.m_runs.erase(m_at); }

        /** @return whether a call that it made got no good answer. */
        bool nested_call_failed() const
        {
            return m_at->second.nested_call_failed;
        }

        run(const run&) = delete;
        run& operator=(const run&) = delete;

    private:
        run_registry& m_in;
        run_map::iterator m_at;
    };

    /** @return the work of the run that made the call @p id, if one did. */
    std::optional<work_class> parent_of(std::string_view id);

    /** The call @p id got no good answer: whichever run made it may fail. */
    void call_failed(std::string_view id);

    /** @return the requests that run now. */
    std::vector<const whole_request*> active_requests() const;

    /** @return whether an id has ever told of a run here. */
    bool ids_name_parents() const noexcept { return m_ids_name_parents; }

private:
    run_map::iterator find_parent(std::string_view id);

    run_map m_runs;
    bool m_ids_name_parents = false;
};

} // namespace tillerhall
