/** @file One thread with one io_context and one fiber scheduler. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/future/promise.hpp>
#include <functional>
#include <vector>

namespace tillerhall
{

/** Runs fibers and I/O of one thread; nothing on it may block the thread. */
class worker
{
public:
    using task = std::function<void()>;

    worker();

    /** Runs on the calling thread until `stop()`. */
    void run();

    /** Ends `run()`; callable from any thread. */
    void stop();

    /** Starts @p body as a fiber of this worker; callable from any thread. */
    void spawn(task body);

    boost::asio::io_context& io() noexcept { return m_io; }

    /**
     * A turn of the worker looks for I/O once, handles all that is ready and
     * then runs every fiber that is.
     * @return when what this turn found came, at the earliest: at the look for
     * I/O before it, or when the worker woke up. A call's clock begins here.
     * Begun when it was read, calls that had waited unread for two seconds were
     * led as new ones, also when their clients had left.
     */
    time_point unseen_since() const noexcept { return m_unseen_since; }

    /**
     * @return how long there has always been something to do. What is read now
     * waited no longer than that.
     */
    duration busy_for() const noexcept
    {
        return steady_clock::now() - m_idle_at;
    }

    /**
     * @return whether work is standing: there is more than the processor can
     * do, and all calls wait for it, however short each turn is. A queue that
     * was not empty for 100 ms is a standing one (Nichols and Jacobson,
     * "Controlling queue delay", 2012); in calm seconds of a node with a fifth
     * of a core 99 of 100 calls met one of less than 60 ms. It holds for a
     * second more: what relieves a pressed worker must not end in the first
     * moment that it is relieved.
     */
    bool is_pressed() const noexcept
    {
        return busy_for() > standing_work ||
               steady_clock::now() < m_pressed_until;
    }

private:
    static constexpr milliseconds standing_work{100};
    static constexpr milliseconds pressure_holds{1'000};

    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_guard;
    bool m_stopped = false;
    time_point m_unseen_since = steady_clock::now();
    time_point m_idle_at = steady_clock::now(); ///< when nothing was to do last
    time_point m_pressed_until{};
};

/** Suspends the calling fiber of the worker that owns @p io for @p span. */
void sleep_for(boost::asio::io_context& io, duration span);

/** Runs @p bodies as fibers of this thread and waits for all of them. */
void run_parallel(std::vector<worker::task> bodies);

/** Runs @p body on @p other and waits for its result, from any worker. */
template <class Body>
auto run_on(worker& other, Body body)
{
    boost::fibers::promise<decltype(body())> promised;
    auto awaited = promised.get_future();
    other.spawn([&] { promised.set_value(body()); });
    return awaited.get();
}

/**
 * Runs @p body as a fiber on a worker of the calling thread and returns its
 * exit code when it is done. For command line programs; fibers still waiting
 * then are abandoned, so the process must end soon after.
 */
int run_main_fiber(const std::function<int(worker&)>& body);

} // namespace tillerhall
