/** @file Decides which large body goes out on a host's link next. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>

namespace tillerhall
{

/** A large body that waits for the link. Leaves the list when destroyed. */
struct link_waiter
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    std::uint64_t bytes = 0;
    time_point due{}; ///< by which the body should have arrived
    bool granted = false;
    std::function<void()> wake; ///< called once, when granted
};

/**
 * Sends large bodies one after the other on a slow link, the one that is due
 * first before the others. Bodies that share a link all arrive as late as the
 * last one, and every short message waits behind all of them: of ten answers
 * of 90 KB on a link of 15 Mbit/s each takes 0.48 s when they go together, and
 * the short ones as long; one after the other they take 0.26 s on the mean and
 * short ones wait for some 50 ms. Bodies that are late already go last, else
 * they would make others late, too.
 *
 * Whether the link is free is worked out from what was handed to it and its
 * rate: a socket takes a body long before the link has carried it, and one
 * whose receiver does not read holds up nobody else. Pure but for the wakes.
 */
class link_schedule
{
public:
    /** Smaller bodies go out at once: they take 9 ms at 15 Mbit/s. */
    static constexpr std::uint64_t large_bytes = 16 * 1024;

    /** A large body may go while the link has no more than this before it:
     * enough to keep the link busy between two of them, and short beside the
     * objectives of the short messages that come behind. */
    static constexpr milliseconds most_ahead{40};

    /** Of a link's rate, bodies get what frames, acknowledgements and the
     * nodes' own words to each other leave. */
    static constexpr double body_share = 0.9;

    /** @param mbps of the host's link; 0 if not known: nothing waits then */
    explicit link_schedule(double mbps) noexcept
        : m_bytes_per_ms(mbps * bytes_per_ms_and_mbps * body_share)
    {
    }

    /** Counts a body that goes out at @p now. */
    void sent(std::uint64_t bytes, time_point now);

    /** @return whether a body that comes at @p now has to wait. */
    bool must_wait(std::uint64_t bytes, time_point now) const;

    /** Puts a body behind those that are due before it. */
    void enqueue(link_waiter& waiter, time_point now);

    /** Lets go what may go at @p now, and counts it. */
    void grant(time_point now);

    bool any_waits() const noexcept { return !m_waiters.empty(); }

    /** @return when the next large body may go. */
    time_point next_grant() const noexcept { return m_clear_at - most_ahead; }

    /** @return how long the link takes for all that is before a body that
     * comes at @p now. */
    duration backlog(time_point now) const;

    /** @return how long @p bytes take on this link; zero if not known. */
    duration time_of(std::uint64_t bytes) const noexcept;

private:
    static constexpr double bytes_per_ms_and_mbps = 125;

    double m_bytes_per_ms;
    boost::intrusive::list<link_waiter,
                           boost::intrusive::constant_time_size<false>>
        m_waiters;
    std::uint64_t m_waiting_bytes = 0;
    time_point m_clear_at{}; ///< when the link has carried all it was given
};

} // namespace tillerhall
