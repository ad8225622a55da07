#include "tillerhall/membership/suspicion.hpp"

#include <algorithm>

namespace tillerhall
{

duration suspicion::patience() const
{
    const auto stretch = std::clamp(m_failures_in_row, 1U, most_stretch);
    return m_limits.suspect_for * stretch;
}

bool suspicion::failed(member_list& members,
                       const address& node,
                       time_point now)
{
    m_failures_in_row = std::min(m_failures_in_row + 1, most_stretch);
    const auto* known = members.find(node);
    if (known == nullptr || !is_live(*known))
        return false;
    m_since.try_emplace(node, now);
    return members.accuse(node, member_state::suspect) == merge_result::changed;
}

void suspicion::answered(const address& node)
{
    m_failures_in_row = 0;
    m_since.erase(node);
}

std::vector<address> suspicion::expire(member_list& members, time_point now)
{
    std::vector<address> buried;
    const auto records = members.ordered(); // copied: accuse() changes it
    for (const auto& kept : records)
    {
        const auto& each = *kept.record;
        if (each.state != member_state::suspect)
        {
            m_since.erase(each.rpc);
            continue;
        }
        const auto since = m_since.try_emplace(each.rpc, now).first->second;
        if (now - since < patience())
            continue;
        members.accuse(each.rpc, member_state::dead);
        m_since.erase(each.rpc);
        buried.push_back(each.rpc);
    }
    return buried;
}

} // namespace tillerhall
