/** @file A thread with an io_context and a fiber scheduler. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/future/promise.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace tillerhall
{

/** Runs the fibers and I/O of one thread; no fiber may block the thread. */
class worker
{
public:
    using task = std::function<void()>;

    worker();

    /** Runs on the calling thread until `stop()`. */
    void run();

    /** Makes `run()` return; callable from any thread. */
    void stop();

    /** Starts @p body as a fiber of this worker; callable from any thread. */
    void spawn(task body);

    boost::asio::io_context& io() noexcept { return m_io; }

    /**
     * Each iteration of `run()` polls for I/O once, runs the handlers that are
     * ready and then every ready fiber.
     * @return the earliest time at which input found by this iteration can have
     * arrived: the previous poll, or when the worker woke up. The time of a
     * call starts here, so that it includes the wait in the socket's buffer.
     */
    time_point earliest_arrival() const noexcept { return m_earliest_arrival; }

    /**
     * @return the time since the worker was last idle; nothing that it reads
     * now has waited longer.
     */
    duration busy_for() const noexcept
    {
        return steady_clock::now() - m_last_idle;
    }

    /**
     * @return true if the processor is saturated: the worker has not been idle
     * for `saturation_delay`, so all calls wait in a standing queue (Nichols
     * and Jacobson, "Controlling queue delay", 2012). Stays true for
     * `saturation_hold` afterwards, so that measures against the overload do
     * not end as soon as they take effect.
     */
    bool is_saturated() const noexcept
    {
        return busy_for() > saturation_delay ||
               steady_clock::now() < m_saturated_until;
    }

private:
    static constexpr milliseconds saturation_delay{100};
    static constexpr milliseconds saturation_hold{1'000};

    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_guard;
    bool m_stopped = false;
    time_point m_earliest_arrival = steady_clock::now();
    time_point m_last_idle = steady_clock::now();
    time_point m_saturated_until{};
};

/** Suspends the calling fiber of the worker that owns @p io for @p span. */
void sleep_for(boost::asio::io_context& io, duration span);

/** Runs each of @p bodies as a fiber of this thread and waits for all. */
void run_parallel(std::vector<worker::task> bodies);

/** Runs @p body on @p other and waits for its result, from any worker. */
template <class Body>
auto run_on(worker& other, Body body)
{
    // Shared with the task: this fiber may go on, and would destroy the
    // promise, while `set_value` still notifies it.
    const auto promised =
        std::make_shared<boost::fibers::promise<decltype(body())>>();
    auto awaited = promised->get_future();
    other.spawn([promised, &body] { promised->set_value(body()); });
    return awaited.get();
}

/**
 * Runs @p body as a fiber on a worker of the calling thread and returns its
 * exit code. For command line programs: fibers that still wait then are
 * abandoned, so the process must exit soon after.
 */
int run_main_fiber(const std::function<int(worker&)>& body);

} // namespace tillerhall
