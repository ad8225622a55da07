/** @file Failure detection: suspicion and death of members. */
#pragma once

#include "tillerhall/membership/member_list.hpp"

#include <map>
#include <vector>

namespace tillerhall
{

struct suspicion_limits
{
    duration timeout = std::chrono::seconds(3);
};

/**
 * Marks a member suspect after a failed heartbeat, and dead if it doesn't
 * refute within a timeout. The timeout is multiplied by the number of
 * consecutive heartbeats of this node that failed, so that a node with a
 * faulty network doesn't declare the whole mesh dead (Lifeguard, Dadgar et
 * al., DSN 2018). Performs no I/O and reads no clock.
 */
class suspicion
{
public:
    static constexpr unsigned max_timeout_factor = 8;

    explicit suspicion(suspicion_limits limits = {})
        : m_limits(limits)
    {
    }

    /** Records a failed heartbeat. @return true if @p node became suspect. */
    bool failed(member_list& members, const address& node, time_point now);

    /** Records an answered heartbeat. */
    void answered(const address& node);

    /**
     * Starts the timeout of suspects reported by others and marks those dead
     * whose timeout has passed.
     * @return the members that were marked dead
     */
    std::vector<address> expire(member_list& members, time_point now);

private:
    duration timeout() const;

    suspicion_limits m_limits;
    std::map<address, time_point> m_suspected_at;
    unsigned m_consecutive_failures = 0;
};

} // namespace tillerhall
