/** @file Accepts TCP connections on one address. */
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

    /** Takes over a connection; it counts as open until its last owner drops
     * it. */
    using connection_handler = std::function<void(std::shared_ptr<tcp_stream>)>;

    /** Closes another connection. @return false if none can be closed */
    using make_room_fn = std::function<bool()>;

    /** Maximum of open connections; further ones are closed and counted. */
    static constexpr std::size_t default_limit = 4096;

    /**
     * Binds the address. Several workers may bind the same address; the kernel
     * distributes connections over them.
     * @return the listener, or the error of the bind.
     */
    static result<std::unique_ptr<listener>>
    open(worker& on, const address& at, std::size_t limit = default_limit);

    /** Starts accepting; @p body runs on a fiber per connection. */
    void start(session body);

    /** Starts accepting; @p handle is called for each connection. It needs no
     * fiber per connection, so that idle connections take no stack. */
    void start_accepting(connection_handler handle);

    /** Sets what is called for a connection beyond the limit, and when the
     * process has no more descriptors. */
    void set_make_room(make_room_fn make_room)
    {
        m_make_room = std::move(make_room);
    }

    /** Stops accepting; open connections stay open. */
    void close();

    /** Accepts the connections that are queued, then stops accepting. */
    void accept_last();

    /** @return the bound address, with the port that the system chose if 0 was
     * given. */
    const address& local() const noexcept { return m_local; }

    std::size_t open_connections() const noexcept { return *m_open; }
    std::uint64_t refused_connections() const noexcept { return m_refused; }

private:
    listener(worker& on, address local, std::size_t limit);

    void accept_loop();
    /**
     * Accepts all queued connections. On a saturated worker, where each pass
     * of the event loop takes long, one per pass would leave them in the
     * kernel's queue, where their waiting time is not seen.
     */
    void accept_queued();
    void accept(std::shared_ptr<tcp_stream> stream);
    std::shared_ptr<tcp_stream> counted(std::shared_ptr<tcp_stream> stream);

    worker& m_worker;
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                       boost::asio::io_context::executor_type>
        m_acceptor;
    address m_local;
    std::size_t m_limit;
    /** Number of open connections, which may outlive the listener. */
    std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0);
    std::uint64_t m_refused = 0;
    connection_handler m_handle;
    make_room_fn m_make_room;
};

} // namespace tillerhall
