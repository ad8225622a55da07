#include "tillerhall/core/worker.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/fiber_scheduler.hpp"
#include "tillerhall/core/fiber_stacks.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace tillerhall
{
namespace
{

// Well above the deepest stack use, in JSON parsing and Beast's operations.
constexpr std::size_t stack_bytes = 128 * 1024;

boost::fibers::fiber start_fiber(worker::task body)
{
    thread_local fiber_stacks stacks(stack_bytes);
    return {boost::fibers::launch::post, std::allocator_arg, stacks,
            std::move(body)};
}

} // namespace

worker::worker()
    : m_guard(m_io.get_executor())
{
}

void worker::run()
{
    auto* scheduler = new fiber_scheduler(m_io); // owned by Boost.Fiber
    boost::fibers::context::active()->get_scheduler()->set_algo(
        boost::fibers::algo::algorithm::ptr_t(scheduler));
    while (!m_stopped)
    {
        const bool is_idle = m_io.poll() == 0 && scheduler->runnable() == 0;
        if (is_idle && !m_stopped)
        {
            m_io.run_one();
            m_last_idle = steady_clock::now();
            m_earliest_arrival = m_last_idle;
        }
        const auto polled_at = steady_clock::now();
        if (polled_at - m_last_idle > saturation_delay)
            m_saturated_until = polled_at + saturation_hold;
        boost::this_fiber::yield();
        m_earliest_arrival = polled_at;
    }
}

void worker::stop()
{
    boost::asio::post(m_io, [this] { m_stopped = true; });
}

void worker::spawn(task body)
{
    boost::asio::post(m_io, [body = std::move(body)]() mutable
                      { start_fiber(std::move(body)).detach(); });
}

void sleep_for(boost::asio::io_context& io, duration span)
{
    boost::asio::steady_timer timer(io, span);
    boost::system::error_code ignored;
    timer.async_wait(await{ignored});
}

void run_parallel(std::vector<worker::task> bodies)
{
    std::vector<boost::fibers::fiber> started;
    for (auto& body : bodies)
        started.push_back(start_fiber(std::move(body)));
    for (auto& each : started)
        each.join();
}

int run_main_fiber(const std::function<int(worker&)>& body)
{
    auto* main_worker = new worker; // outlives abandoned fibers
    int code = 0;
    main_worker->spawn(
        [&]
        {
            code = body(*main_worker);
            main_worker->stop();
        });
    main_worker->run();
    return code;
}

} // namespace tillerhall
