/** @file Boost.Fiber scheduling that shares its thread with an io_context. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace tillerhall
{

/**
 * First in, first out over the ready fibers of one thread.
 *
 * The thread's main fiber polls the io_context, and blocks in it only while
 * `runnable()` is 0. All waiting goes through Asio, so Boost.Fiber's own
 * timed waits must not be used on a worker.
 */
class fiber_scheduler : public boost::fibers::algo::algorithm
{
public:
    explicit fiber_scheduler(boost::asio::io_context& io) noexcept
        : m_io(io)
    {
    }

    void awakened(boost::fibers::context* ready) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(
        const std::chrono::steady_clock::time_point& until) noexcept override;

    /** Called from any thread when a fiber of this one became ready. */
    void notify() noexcept override;

    /** @return ready fibers, the main and the dispatcher fiber not counted. */
    std::size_t runnable() const noexcept { return m_runnable; }

private:
    boost::asio::io_context& m_io;
    boost::fibers::scheduler::ready_queue_type m_ready;
    std::size_t m_runnable = 0;
};

} // namespace tillerhall
