#include "tillerhall/membership/suspicion.hpp"

#include <algorithm>

namespace tillerhall
{

duration suspicion::timeout() const
{
    const auto factor =
        std::clamp(m_consecutive_failures, 1U, max_timeout_factor);
    return m_limits.timeout * factor;
}

bool suspicion::failed(member_list& members,
                       const address& node,
                       time_point now)
{
    m_consecutive_failures =
        std::min(m_consecutive_failures + 1, max_timeout_factor);
    const auto* known = members.find(node);
    if (known == nullptr || !is_live(*known))
        return false;
    m_suspected_at.try_emplace(node, now);
    return members.accuse(node, member_state::suspect) == merge_result::changed;
}

void suspicion::answered(const address& node)
{
    m_consecutive_failures = 0;
    m_suspected_at.erase(node);
}

std::vector<address> suspicion::expire(member_list& members, time_point now)
{
    std::vector<address> dead;
    const auto records = members.ordered(); // copied: accuse() changes it
    for (const auto& kept : records)
    {
        const auto& each = *kept.record;
        if (each.state != member_state::suspect)
        {
            m_suspected_at.erase(each.rpc);
            continue;
        }
        const auto since =
            m_suspected_at.try_emplace(each.rpc, now).first->second;
        if (now - since < timeout())
            continue;
        members.accuse(each.rpc, member_state::dead);
        m_suspected_at.erase(each.rpc);
        dead.push_back(each.rpc);
    }
    return dead;
}

} // namespace tillerhall
