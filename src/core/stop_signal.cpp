#include "tillerhall/core/stop_signal.hpp"
#include "tillerhall/core/await.hpp"

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace tillerhall
{
namespace
{

// Handlers may only use lock-free atomics.
std::atomic<time_point::rep> arrived_at{0};
std::atomic<int> wake_fd{-1};
static_assert(std::atomic<time_point::rep>::is_always_lock_free);

void handle(int /*signal*/)
{
    const int saved_errno = errno;
    time_point::rep unset = 0;
    arrived_at.compare_exchange_strong(
        unset, steady_clock::now().time_since_epoch().count());
    const char byte = 0;
    // A full pipe wakes the waiter as well.
    [[maybe_unused]] const auto written = ::write(wake_fd, &byte, sizeof byte);
    errno = saved_errno;
}

void install(void (*handler)(int))
{
    struct sigaction action = {};
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    for (const int signal : {SIGTERM, SIGINT})
        ::sigaction(signal, &action, nullptr);
}

} // namespace

stop_signal::stop_signal(boost::asio::io_context& io)
    : m_wake(io)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(),
                                "no pipe for signals");
    m_wake.assign(ends[0]);
    arrived_at = 0;
    wake_fd = ends[1];
    install(handle);
}

stop_signal::~stop_signal()
{
    install(SIG_DFL);
    ::close(wake_fd.exchange(-1));
}

time_point stop_signal::wait()
{
    boost::system::error_code failed;
    while (arrived_at == 0 && !failed)
        m_wake.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                          await{failed});
    return time_point(duration(arrived_at.load()));
}

} // namespace tillerhall
