/** @file Schedules the bodies that fibers send on the host's link. */
#pragma once

#include "tillerhall/routing/link_schedule.hpp"

#include <boost/asio/steady_timer.hpp>

namespace tillerhall
{

/** Assigns transfer slots by a `link_schedule` to fibers of one worker. */
class link_scheduler
{
public:
    /** @param mbps rate of the host's link in Mbit/s; 0 if not known */
    link_scheduler(boost::asio::io_context& io, double mbps)
        : m_io(io)
        , m_grant_timer(io)
        , m_schedule(mbps)
    {
    }

    /**
     * Waits until a body may be sent. Small bodies do not wait; they are only
     * counted.
     * @param due time by which the body should have arrived
     */
    void await_slot(std::uint64_t bytes, time_point due);

    /** @return transfer time of all that is queued before a new body. */
    duration backlog() const { return m_schedule.backlog(steady_clock::now()); }

    /** @return transfer time of @p bytes; zero if the rate is not known. */
    duration time_of(std::uint64_t bytes) const noexcept
    {
        return m_schedule.time_of(bytes);
    }

private:
    /** Grants the slots that are free now and sets the timer for the next. */
    void grant_ready();

    boost::asio::io_context& m_io;
    boost::asio::steady_timer m_grant_timer;
    link_schedule m_schedule;
};

} // namespace tillerhall
