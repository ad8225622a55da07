/**
 * @file Infers from a call's remaining time how long ago its first attempt was.
 */
#pragma once

#include "tillerhall/core/recent_window.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <algorithm>
#include <map>

namespace tillerhall
{

/**
 * Clients that retry a refused call send it with the remaining time of their
 * deadline. The longest recent remaining time of a class of work is taken as
 * the clients' deadline budget; the difference between it and the remaining
 * time of a call is the time since the call's first attempt. Does no I/O.
 */
class deadline_budgets
{
public:
    /** Long enough to include calls of a rarely used route. */
    static constexpr duration span = std::chrono::seconds(10);

    /**
     * @param remaining time until the deadline of a call
     * @return the time since the first attempt of the call.
     */
    duration elapsed(const work_class& work, duration remaining, time_point now)
    {
        auto& seen = m_seen.try_emplace(work).first->second;
        auto& current = seen.current(now).longest;
        current = std::max(current, remaining);
        return std::max(current, seen.previous(now).longest) - remaining;
    }

private:
    struct longest_remaining
    {
        duration longest{};
    };

    struct window : recent_window<longest_remaining>
    {
        window()
            : recent_window<longest_remaining>(span)
        {
        }
    };

    std::map<work_class, window> m_seen;
};

} // namespace tillerhall
