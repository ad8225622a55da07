/** @file When a host lets the next large body come over its link. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/link_schedule.hpp"

#include <cstdint>

namespace tillerhall
{

/**
 * Lets large bodies come one after the other to a host with a slow link.
 *
 * The load it answers: uploads of 60 KB use nearly all of the links of ten
 * hosts with 7 Mbit/s, from 88 entries that each see who is free but not what
 * the others are about to send. Several bodies then shared a link; the short
 * calls that runs elsewhere make to the same hosts waited behind all of them,
 * and 15 in 100 of those runs failed after their call had waited for 0.46 of
 * its 0.5 s, each holding a place all the while. So who sends a large body
 * claims its turn before, and the host counts what it has granted at its link's
 * rate, sent yet or not (virtual scheduling, as in ITU-T I.371). Pure.
 */
class body_grants
{
public:
    /** Of the link's rate. The rest is for what comes without a turn: short
     * calls, answers, words between nodes and what this host's own clients
     * send, a sixth of it where links bind. */
    static constexpr double granted_share = 0.85;
    /** A body may be granted while those before it take no longer than this:
     * the claim's answer and the first bytes need some 10 ms, and a short call
     * behind it waits for a third of its objective of 150 ms at most. */
    static constexpr milliseconds most_ahead{25};

    /** @param mbps of the host's link; 0 if not known: all is granted */
    explicit body_grants(double mbps)
        : m_link(mbps * granted_share)
    {
    }

    /** Somebody wants to send @p bytes. @return how long it has to wait before
     * it may ask again; zero if its turn is now. */
    duration claim(std::uint64_t bytes, time_point now)
    {
        const auto ahead = m_link.backlog(now);
        if (ahead > most_ahead)
            return ahead - most_ahead;
        m_link.sent(bytes, now);
        return duration::zero();
    }

private:
    link_schedule m_link;
};

} // namespace tillerhall
