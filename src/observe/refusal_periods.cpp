#include "tillerhall/observe/refusal_periods.hpp"

#include <utility>

namespace tillerhall
{

bool refusal_periods::refused(const std::string& subject,
                              std::int64_t count,
                              time_point now)
{
    const auto known = m_periods.find(subject);
    if (known != m_periods.end())
    {
        known->second.refused += count;
        known->second.last = now;
        return false;
    }
    if (m_periods.size() >= max_tracked)
        return false;
    m_periods[subject] = {subject, count, now, now};
    return true;
}

std::vector<refusal_period> refusal_periods::take_ended(time_point now)
{
    std::vector<refusal_period> ended;
    std::erase_if(m_periods,
                  [&](auto& each)
                  {
                      if (now < each.second.last + quiet_time)
                          return false;
                      ended.push_back(std::move(each.second));
                      return true;
                  });
    return ended;
}

} // namespace tillerhall
