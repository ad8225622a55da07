#include "tillerhall/http/caller_watch.hpp"

namespace tillerhall
{

caller_watch::caller_watch(tcp_stream& caller, tcp_stream& upstream)
    : m_caller(caller)
    , m_state(std::make_shared<state>())
{
    m_caller.socket().async_wait(
        boost::asio::socket_base::wait_read,
        [shared = m_state, &caller,
         &upstream](const boost::system::error_code& failed)
        {
            // After the watch has ended the streams may be destroyed.
            if (failed || !shared->active || !peer_has_closed(caller))
                return;
            shared->gone = true;
            upstream.cancel();
            reset_stream(upstream);
        });
}

caller_watch::~caller_watch()
{
    m_state->active = false;
    boost::system::error_code ignored;
    m_caller.socket().cancel(ignored);
}

} // namespace tillerhall
