/** @file Accepts TCP connections and starts a fiber for each. */
#pragma once

#include "tillerhall/http/stream.hpp"

#include <functional>
#include <memory>

namespace tillerhall
{

class worker;

/** Listens on one address for one worker. */
class listener
{
public:
    using session = std::function<void(tcp_stream&)>;

    /** Takes over a connection; it counts as open as long as it is held. */
    using taker = std::function<void(std::shared_ptr<tcp_stream>)>;

    /** Connections at once; further ones are closed and counted. */
    static constexpr std::size_t default_limit = 4096;

    /**
     * Binds at once. Several workers may bind the same address; the kernel
     * spreads connections over them.
     * @return the listener, or why the address cannot be used.
     */
    static result<std::unique_ptr<listener>>
    open(worker& on, const address& at, std::size_t limit = default_limit);

    /** Starts accepting; @p body runs in a fiber per connection. */
    void start(session body);

    /** Starts accepting; @p take is called for each connection, outside any
     * fiber, so that connections that rest cost no stack. */
    void start_taking(taker take);

    /** Stops accepting; connections already open go on. */
    void close();

    /** @return the address bound, its port chosen by the system if 0 was asked.
     */
    const address& local() const noexcept { return m_local; }

    std::size_t open_connections() const noexcept { return m_open; }
    std::uint64_t refused_connections() const noexcept { return m_refused; }

private:
    listener(worker& on, address local, std::size_t limit);

    void accept_loop();
    /**
     * One connection a turn of the worker let them wait unaccepted for two
     * seconds while the worker had no time to spare: a turn handles all else
     * that is ready, and nobody sees how long a connection waits here.
     */
    void take_all_waiting();
    void take(std::shared_ptr<tcp_stream> stream);
    std::shared_ptr<tcp_stream> counted(std::shared_ptr<tcp_stream> stream);

    worker& m_worker;
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                       boost::asio::io_context::executor_type>
        m_acceptor;
    address m_local;
    std::size_t m_limit;
    std::size_t m_open = 0;
    std::uint64_t m_refused = 0;
    taker m_take;
};

} // namespace tillerhall
