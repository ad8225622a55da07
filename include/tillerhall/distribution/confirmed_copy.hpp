/** @file How current a node's copy of a row of the store is known to be. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <string>

namespace tillerhall
{

/**
 * The latest time at which a copy is known to have been the newest. It counts
 * from the question to the store, not from its answer, also where the answer
 * was received by another node. Does no I/O.
 */
class confirmed_copy
{
public:
    /** An older copy may lack a change that has to be in force: the 2 s in
     * which it has to be, and the longest wait for an answer of the store. */
    static constexpr milliseconds max_age{3'000};

    /** Notes that the copy was the newest at @p at, as @p source knows: "store"
     * or the address of a reader. */
    void confirm(time_point at, const std::string& source)
    {
        if (at <= m_at)
            return;
        m_at = at;
        m_source = source;
    }

    time_point at() const noexcept { return m_at; }
    /** Source of the latest confirmation, empty before the first. */
    const std::string& source() const noexcept { return m_source; }

    /** Returns whether a copy confirmed at @p confirmed may lack a change. */
    static bool may_be_stale(time_point confirmed, time_point now) noexcept
    {
        return now - confirmed > max_age;
    }

private:
    time_point m_at{};
    std::string m_source;
};

} // namespace tillerhall
