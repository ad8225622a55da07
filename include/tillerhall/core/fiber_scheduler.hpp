/** @file A Boost.Fiber scheduler that shares its thread with an io_context. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace tillerhall
{

/**
 * Runs the ready fibers of one thread in first-in, first-out order.
 *
 * The thread's main fiber polls the io_context, and blocks in it only while
 * `runnable()` is 0. Fibers wait through Asio only; Boost.Fiber's own timed
 * waits must not be used on a worker.
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

    /** Wakes this thread when a fiber becomes ready; for any thread. */
    void notify() noexcept override;

    /** @return ready fibers without the main and the dispatcher fiber. */
    std::size_t runnable() const noexcept { return m_runnable; }

private:
    boost::asio::io_context& m_io;
    boost::fibers::scheduler::ready_queue_type m_ready;
    std::size_t m_runnable = 0;
};

} // namespace tillerhall
