/**
 * @file Schedules the large bodies that other nodes send over a host's link.
 */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/link_schedule.hpp"

#include <cstdint>

namespace tillerhall
{

/**
 * Grants transfer slots for large request bodies to a host with a slow link.
 *
 * Entries cannot see what other entries are about to send, so several large
 * bodies could share one link and delay every short call behind them. An entry
 * therefore claims a transfer slot before it sends a large body. Granted bodies
 * count at the link's rate from the moment of the grant, whether they have been
 * sent or not (virtual scheduling, as in ITU-T I.371). Does no I/O.
 */
class transfer_slots
{
public:
    /**
     * Share of the link's rate that is granted. The rest is for traffic without
     * a transfer slot: short calls, answers, messages between nodes and
     * requests of this host's own clients, together about a sixth of the load
     * where links are the bottleneck.
     */
    static constexpr double granted_share = 0.85;
    /**
     * A body is granted while the bodies granted before it take no longer than
     * this: the answer to the claim and the first bytes need some 10 ms, and a
     * short call behind the body waits for a third of an objective of 150 ms at
     * most.
     */
    static constexpr milliseconds max_ahead{25};

    /**
     * @param mbps rate of the host's link; 0 if unknown: every claim is granted
     */
    explicit transfer_slots(double mbps)
        : m_link(mbps * granted_share)
    {
    }

    /**
     * Claims a transfer slot for @p bytes.
     * @return zero if it is granted, else the time to wait before the next
     * claim.
     */
    duration claim(std::uint64_t bytes, time_point now)
    {
        const auto ahead = m_link.backlog(now);
        if (ahead > max_ahead)
            return ahead - max_ahead;
        m_link.sent(bytes, now);
        return duration::zero();
    }

private:
    link_schedule m_link;
};

} // namespace tillerhall
