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

private:
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_guard;
    bool m_stopped = false;
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
