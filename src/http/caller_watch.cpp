#include "tillerhall/http/caller_watch.hpp"

namespace tillerhall
{
namespace
{

/** @return whether the other side has closed; bytes waiting mean no. */
bool has_closed(tcp_stream& stream)
{
    auto& socket = stream.socket();
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1),
                   boost::asio::socket_base::message_peek, failed);
    return failed && failed != boost::asio::error::would_block;
}

} // namespace

caller_watch::caller_watch(tcp_stream& caller, tcp_stream& upstream)
    : m_caller(caller)
    , m_state(std::make_shared<state>())
{
    m_caller.socket().async_wait(
        boost::asio::socket_base::wait_read,
        [shared = m_state, &caller,
         &upstream](const boost::system::error_code& failed)
        {
            // Once the watch is over the streams may be gone, too.
            if (failed || !shared->active || !has_closed(caller))
                return;
            shared->gone = true;
            upstream.cancel();
            boost::system::error_code ignored;
            upstream.socket().close(ignored);
        });
}

caller_watch::~caller_watch()
{
    m_state->active = false;
    boost::system::error_code ignored;
    m_caller.socket().cancel(ignored);
}

} // namespace tillerhall
