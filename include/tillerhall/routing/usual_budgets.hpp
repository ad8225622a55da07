/** @file How much time clients give a call, to tell those that come back. */
#pragma once

#include "tillerhall/core/recent_window.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <algorithm>
#include <map>

namespace tillerhall
{

/**
 * A client that is refused comes back with what is left of its time. The
 * longest time left that calls of a class of work came with lately is taken
 * for what clients give it; what a call has less has passed since its first
 * try. Pure.
 */
class usual_budgets
{
public:
    /** Clients of a quiet route call so often at least. */
    static constexpr duration span = std::chrono::seconds(10);

    /** @return the time passed since the first try of a call with @p left. */
    duration elapsed(const work_class& work, duration left, time_point now)
    {
        auto& seen = m_seen.try_emplace(work).first->second;
        auto& newest = seen.newest(now).longest;
        newest = std::max(newest, left);
        return std::max(newest, seen.before(now).longest) - left;
    }

private:
    struct longest_left
    {
        duration longest{};
    };

    struct window : recent_window<longest_left>
    {
        window()
            : recent_window<longest_left>(span)
        {
        }
    };

    std::map<work_class, window> m_seen;
};

} // namespace tillerhall
