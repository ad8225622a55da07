#include "tillerhall/distribution/transit_time.hpp"

#include <algorithm>

namespace tillerhall
{

duration transit_time::excess(const std::string& sender,
                              std::int64_t sent_ms,
                              time_point received)
{
    std::erase_if(m_senders, [received](const auto& each)
                  { return received - each.second.last > forget_after; });
    auto& known = m_senders[sender];
    known.last = std::max(known.last, received);
    auto& differences = known.differences_ms;
    differences.push_back(to_ms(received.time_since_epoch()) - sent_ms);
    if (differences.size() > window)
        differences.pop_front();
    return milliseconds(differences.back() -
                        *std::ranges::min_element(differences));
}

} // namespace tillerhall
