#include "tillerhall/membership/rumor_queue.hpp"

#include <algorithm>
#include <bit>

namespace tillerhall
{

void rumor_queue::add(const address& node)
{
    m_sent[node] = 0;
}

std::vector<member> rumor_queue::take(const member_list& members)
{
    std::vector<std::pair<unsigned, address>> least_sent;
    for (const auto& [node, sent] : m_sent)
        least_sent.emplace_back(sent, node);
    const auto count = std::min(per_message, least_sent.size());
    std::ranges::partial_sort(least_sent,
                              least_sent.begin() + static_cast<long>(count));
    least_sent.resize(count);
    const auto limit =
        repeat_factor *
        static_cast<unsigned>(std::bit_width(members.live_count() + 1));
    std::vector<member> records;
    for (const auto& [sent, node] : least_sent)
    {
        if (const auto* record = members.find(node))
            records.push_back(*record);
        if (++m_sent[node] >= limit)
            m_sent.erase(node);
    }
    return records;
}

} // namespace tillerhall
