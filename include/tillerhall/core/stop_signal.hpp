/** @file The signals that ask a process to stop, and when they arrived. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <boost/asio/posix/stream_descriptor.hpp>

namespace tillerhall
{

/**
 * Waits for SIGTERM or SIGINT. The time of the signal is taken in its handler:
 * whoever sent it counts a grace period from then, while a busy worker may
 * handle it much later. One object per process.
 */
class stop_signal
{
public:
    /** Installs the handlers. */
    explicit stop_signal(boost::asio::io_context& io);
    ~stop_signal();

    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;

    /** Suspends the calling fiber. @return when the first signal arrived */
    time_point wait();

private:
    boost::asio::posix::stream_descriptor m_wake;
};

} // namespace tillerhall
