/** @file From a missed heartbeat over suspicion to death, or back. */
#pragma once

#include "tillerhall/membership/member_list.hpp"

#include <map>
#include <vector>

namespace tillerhall
{

/** Timing of suspicion. */
struct suspicion_limits
{
    duration suspect_for = std::chrono::seconds(3);
};

/**
 * Turns failed heartbeats into suspicion and suspicion into death after a
 * time in which the suspect may refute. A node that answers little itself
 * accuses slowly: each of its own failures in a row stretches the time, so a
 * node whose own network fails does not bury the mesh (Lifeguard, Dadgar et
 * al., DSN 2018). Pure.
 */
class suspicion
{
public:
    static constexpr unsigned most_stretch = 8;

    explicit suspicion(suspicion_limits limits = {})
        : m_limits(limits)
    {
    }

    /** A heartbeat to @p node got no answer. @return whether it is news. */
    bool failed(member_list& members, const address& node, time_point now);

    /** A heartbeat to @p node was answered. */
    void answered(const address& node);

    /** Notes suspicions learned from others and buries those overdue. */
    std::vector<address> expire(member_list& members, time_point now);

private:
    duration patience() const;

    suspicion_limits m_limits;
    std::map<address, time_point> m_since;
    unsigned m_failures_in_row = 0;
};

} // namespace tillerhall
