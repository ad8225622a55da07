/** @file Lets fibers wait until their body may go out on the host's link. */
#pragma once

#include "tillerhall/routing/link_schedule.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tillerhall
{

/** A `link_schedule` for the fibers of one worker. */
class link_turns
{
public:
    /** @param mbps of the host's link; 0 if not known */
    link_turns(boost::asio::io_context& io, double mbps)
        : m_io(io)
        , m_pump(io)
        , m_schedule(mbps)
    {
    }

    /**
     * Waits until a body may go out. Small ones are only counted.
     * @param due by which it should have arrived
     */
    void await_turn(std::uint64_t bytes, time_point due);

    /** @return how long the link takes for all that is before a new body. */
    duration backlog() const { return m_schedule.backlog(steady_clock::now()); }

    /** @return how long @p bytes take on this link. */
    duration time_of(std::uint64_t bytes) const noexcept
    {
        return m_schedule.time_of(bytes);
    }

private:
    /** Grants what may go now and comes back for the next one. */
    void pump();

    boost::asio::io_context& m_io;
    boost::asio::steady_timer m_pump;
    link_schedule m_schedule;
};

} // namespace tillerhall
