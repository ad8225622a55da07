/** @file Remembers which owners have just refused which work. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <compare>
#include <map>
#include <vector>

namespace tillerhall
{

/** Calls that an owner refuses or admits alike. */
struct refused_work
{
    work_class work;
    bool came_back = false; ///< after a refusal; such calls go behind others

    friend auto operator<=>(const refused_work&, const refused_work&) = default;
};

/**
 * Keeps an entry from asking owners again that have no room for a sort of work.
 *
 * The load it answers: targets turn slow, clients come back at once, and each
 * try asks three full owners. A refusal costs both nodes about what a call
 * does, so telling them took the processor time of the hosts that still served,
 * and calls waited unread for seconds. Of the storm that the test plays, 1,500
 * calls a second that come back four times, entries with this memory ask for an
 * eighth of what they ask for without it, and as many calls run. On a small
 * deployment with slow targets and clients that come back at once 0.5% of the
 * calls failed with it, 13% without it.
 *
 * Only refusals that are told while the owner's or the entry's processor is
 * pressed are remembered: what an owner has no room for is one call's place in
 * the order, so a pause for all calls of its sort refuses some that would be
 * served.
 *
 * By class of work, so that a booking is not refused since a read was, and
 * apart for those who come back, who are refused earlier. Pure.
 */
class refusal_memory
{
public:
    /** Owners tell about the time of a run. Of a run of half a second half of
     * that keeps a place free for a hundredth of it, with a dozen entries that
     * ask; with 50 ms owners' processors stayed at their whole allowance. */
    static constexpr milliseconds longest_pause{250};
    /** So long after a pause an owner is still asked once a pause only. */
    static constexpr milliseconds kept{1'000};
    /** Pauses end spread over their last part, so that entries that were
     * refused together do not ask together. */
    static constexpr double least_part = 0.5;

    /**
     * @p owner had no room for @p work.
     * @param retry_after as the owner told
     * @param point random in [0, 1), for the spread
     */
    void refused(const address& owner,
                 const refused_work& work,
                 duration retry_after,
                 double point,
                 time_point now);

    /**
     * @p owner is asked for @p work. Until it is known to have room it is not
     * asked again before another pause: in an overload answers take 200 ms,
     * and without this all calls of that time went to full owners.
     */
    void asked(const address& owner, const refused_work& work, time_point now);

    /** @p owner has let a call of @p work run. */
    void admitted(const address& owner, const refused_work& work);

    /** @return the owners that are not asked for @p work at @p now. */
    std::vector<address> refusing(const refused_work& work, time_point now);

    /** @return the shortest time after which one of them told to come back. */
    duration retry_after(const refused_work& work, time_point now) const;

private:
    struct refusal
    {
        time_point until{}; ///< of the pause
        duration pause{};
        duration retry_after{};
    };

    std::map<refused_work, std::map<address, refusal>> m_refusals;
};

} // namespace tillerhall
