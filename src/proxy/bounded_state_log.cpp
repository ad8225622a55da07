#include "tillerhall/proxy/bounded_state_log.hpp"
#include "tillerhall/node/blackboard.hpp"

#include <utility>

namespace tillerhall
{

void bounded_state_log::change(const std::string& subject,
                               boost::json::object figures,
                               time_point now)
{
    m_holds = !m_holds;
    if (m_holds)
        m_is_noted = m_bucket.take(now);
    if (!m_is_noted)
    {
        m_left_out += m_holds ? 1 : 0;
        return;
    }
    if (m_left_out != 0)
        figures["left_out_before"] = std::exchange(m_left_out, 0U);
    m_board.decisions.note(m_holds ? m_lines.begins : m_lines.ends, subject,
                           "by the load that the target reports",
                           std::move(figures));
}

} // namespace tillerhall
