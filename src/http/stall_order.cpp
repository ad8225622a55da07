#include "tillerhall/http/stall_order.hpp"

namespace tillerhall
{

void stall_order::progressed(closable_connection& connection, time_point now)
{
    connection.stall_order_hook::unlink();
    connection.m_progress = now;
    m_connections.push_back(connection);
}

bool stall_order::close_most_stalled(time_point now, duration least)
{
    while (!m_connections.empty())
    {
        auto& first = m_connections.front();
        const auto stalled = now - first.m_progress;
        if (stalled < least || stalled == duration::zero())
            return false;
        if (first.give_way())
            return true;
        progressed(first, now);
    }
    return false;
}

time_point stall_order::next_stalled(duration least) const
{
    return m_connections.empty() ? time_point::max()
                                 : m_connections.front().m_progress + least;
}

} // namespace tillerhall
