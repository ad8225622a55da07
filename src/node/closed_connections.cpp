#include "tillerhall/node/closed_connections.hpp"

namespace tillerhall
{
namespace
{

constexpr std::chrono::seconds check_interval(1);
const std::string subject = "clients";

} // namespace

void closed_connections::add()
{
    m_board.metrics.get("tillerhall_connections_closed_total").add();
    if (!m_periods.refused(subject, 1, steady_clock::now()))
        return;
    m_board.decisions.note(
        "connections_closed", subject,
        "they made no progress while others need memory or a connection",
        {{"connection_bytes", m_memory.held_by_connections()},
         {"body_bytes", m_memory.taken()}});
    m_worker.spawn([this] { wait_for_end(); });
}

void closed_connections::wait_for_end()
{
    while (m_periods.size() != 0)
    {
        sleep_for(m_worker.io(), check_interval);
        for (const auto& each : m_periods.take_ended(steady_clock::now()))
            m_board.decisions.note("connections_kept", each.subject,
                                   "none was closed to make room lately",
                                   {{"closed", each.refused},
                                    {"for_ms", to_ms(each.last - each.began)}});
    }
}

} // namespace tillerhall
