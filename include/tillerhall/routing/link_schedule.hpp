/** @file Orders the large bodies that leave over a host's link. */
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
    time_point due{}; ///< when the body should have arrived
    bool granted = false;
    std::function<void()> wake; ///< called once, when granted
};

/**
 * Sends large bodies one after the other over a slow link, earliest due time
 * first. Bodies that share a link would all arrive as late as the last one, and
 * every short message would wait behind all of them: ten bodies of 90 KB on a
 * link of 15 Mbit/s each take 0.48 s together, but 0.26 s on average one after
 * the other, and short messages then wait some 50 ms. Bodies that are already
 * late go last, so that they do not make others late.
 *
 * Whether the link is free is computed from the bytes handed to it and its
 * rate: a socket accepts a body long before the link has carried it, and a
 * receiver that does not read must not hold up the others. Does no I/O apart
 * from the wake functions.
 */
class link_schedule
{
public:
    /** Smaller bodies are sent at once; they take 9 ms at 15 Mbit/s. */
    static constexpr std::uint64_t large_bytes = 16 * 1024;

    /**
     * A large body may be sent while the link needs no more than this for the
     * bytes before it: enough to keep the link busy between two bodies, and
     * short beside the objectives of the short messages behind them.
     */
    static constexpr milliseconds max_ahead{40};

    /**
     * Share of the link's rate for bodies. The rest is for frames,
     * acknowledgements and messages between nodes.
     */
    static constexpr double body_share = 0.9;

    /** @param mbps rate of the host's link; 0 if unknown: nothing waits */
    explicit link_schedule(double mbps) noexcept
        : m_bytes_per_ms(mbps * bytes_per_ms_and_mbps * body_share)
    {
    }

    /** Counts a body that is sent at @p now. */
    void sent(std::uint64_t bytes, time_point now);

    /** @return true if a body of @p bytes has to wait at @p now. */
    bool must_wait(std::uint64_t bytes, time_point now) const;

    /** Adds a body to the queue behind those that are due before it. */
    void enqueue(link_waiter& waiter, time_point now);

    /**
     * Grants the link to the bodies that may be sent at @p now, and counts
     * them.
     */
    void grant(time_point now);

    bool any_waits() const noexcept { return !m_waiters.empty(); }

    /** @return when the next large body may be sent. */
    time_point next_grant() const noexcept { return m_clear_at - max_ahead; }

    /**
     * @return how long the link needs for all bytes sent or queued at @p now.
     */
    duration backlog(time_point now) const;

    /** @return the link time of @p bytes; zero if the rate is unknown. */
    duration time_of(std::uint64_t bytes) const noexcept;

private:
    static constexpr double bytes_per_ms_and_mbps = 125;

    double m_bytes_per_ms;
    boost::intrusive::list<link_waiter,
                           boost::intrusive::constant_time_size<false>>
        m_waiters;
    std::uint64_t m_waiting_bytes = 0;
    time_point m_clear_at{}; ///< when the link has carried all bytes sent
};

} // namespace tillerhall
