#include "tillerhall/http/listener.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"

#include <sys/socket.h>

namespace tillerhall
{
namespace
{

using boost::asio::ip::tcp;
using reuse_port =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Pause after a failed accept.
constexpr milliseconds accept_retry_delay(50);

} // namespace

listener::listener(worker& on, address local, std::size_t limit)
    : m_worker(on)
    , m_acceptor(on.io())
    , m_local(std::move(local))
    , m_limit(limit)
{
}

result<std::unique_ptr<listener>>
listener::open(worker& on, const address& at, std::size_t limit)
{
    boost::system::error_code failed;
    const auto ip = boost::asio::ip::make_address(at.ip, failed);
    const tcp::endpoint endpoint(ip, at.port);
    std::unique_ptr<listener> made(new listener(on, at, limit));
    auto& acceptor = made->m_acceptor;
    if (!failed)
        acceptor.open(endpoint.protocol(), failed);
    if (!failed)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    if (!failed)
        acceptor.set_option(reuse_port(true), failed);
    if (!failed)
        acceptor.bind(endpoint, failed);
    if (!failed)
        acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        failed);
    if (!failed)
        acceptor.non_blocking(true, failed);
    if (failed)
        return error(error_code::invalid_argument,
                     "cannot listen on " + at.text() + ": " + failed.message(),
                     "choose a free address of this host in the settings");
    made->m_local.port = acceptor.local_endpoint().port();
    return made;
}

void listener::start(session body)
{
    start_accepting(
        [this, body = std::move(body)](std::shared_ptr<tcp_stream> stream)
        { m_worker.spawn([body, stream] { body(*stream); }); });
}

void listener::start_accepting(connection_handler handle)
{
    m_handle = std::move(handle);
    m_worker.spawn([this] { accept_loop(); });
}

void listener::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void listener::accept_last()
{
    accept_queued();
    close();
}

void listener::accept_loop()
{
    while (m_acceptor.is_open())
    {
        boost::system::error_code failed;
        auto stream = std::make_shared<tcp_stream>(m_worker.io());
        m_acceptor.async_accept(stream->socket(), await{failed});
        if (failed == boost::asio::error::operation_aborted)
            return;
        const bool has_made_room =
            failed == boost::asio::error::no_descriptors && m_make_room &&
            m_make_room();
        if (failed && !has_made_room)
            sleep_for(m_worker.io(), accept_retry_delay);
        else if (!failed)
            accept(std::move(stream));
        accept_queued();
    }
}

void listener::accept_queued()
{
    boost::system::error_code failed;
    // At the limit one is accepted in each pass, since a connection can give
    // way only once its input has been read.
    while (m_acceptor.is_open() && *m_open < m_limit)
    {
        auto stream = std::make_shared<tcp_stream>(m_worker.io());
        m_acceptor.accept(stream->socket(), failed);
        // The queue is empty, or the next async_accept reports the error.
        if (failed)
            return;
        accept(std::move(stream));
    }
}

void listener::accept(std::shared_ptr<tcp_stream> stream)
{
    if (*m_open >= m_limit && !(m_make_room && m_make_room()))
        ++m_refused;
    else
        m_handle(counted(std::move(stream)));
}

std::shared_ptr<tcp_stream>
listener::counted(std::shared_ptr<tcp_stream> stream)
{
    boost::system::error_code ignored;
    stream->socket().set_option(tcp::no_delay(true), ignored);
    ++*m_open;
    auto* const raw = stream.get();
    return {raw, [open = m_open, stream](tcp_stream*) { --*open; }};
}

} // namespace tillerhall
