/** @file Which calls of an entry may go to a release that is not proved. */
#pragma once

#include <algorithm>

namespace tillerhall
{

/**
 * Bounds the calls that a new release gets without agreement between nodes:
 * each call that reached a target of the service draws, and with the share's
 * probability wins a ticket for one later call. So over any number of entries,
 * restarts and losses the new release gets at most the share of the calls that
 * reach the service, in expectation, and nothing that begins anew brings an
 * allowance along. With half of the exposure as the share, 1,000 calls reach
 * it over 50 times instead of 100 with a standard deviation of 7. An account
 * that each entry fills up would be exact but gives nothing at 2,700 entries
 * that see one call of a service a second. Pure.
 */
class exposure_tickets
{
public:
    /** Tickets that are not used pile up no further: a burst would be sent to
     * one target. */
    static constexpr unsigned most_kept = 2;

    /** A call reached a target. @param point random in [0, 1) */
    void reached(double share, double point)
    {
        if (point < share)
            m_tickets = std::min(m_tickets + 1, most_kept);
    }

    bool has_one() const noexcept { return m_tickets > 0; }

    /** A call goes to the new release. */
    void take() noexcept
    {
        if (m_tickets > 0)
            --m_tickets;
    }

    /** That call did not reach a target. */
    void give_back() noexcept
    {
        m_tickets = std::min(m_tickets + 1, most_kept);
    }

private:
    unsigned m_tickets = 0;
};

} // namespace tillerhall
