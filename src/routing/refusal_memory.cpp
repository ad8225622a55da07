#include "tillerhall/routing/refusal_memory.hpp"

#include <algorithm>

namespace tillerhall
{

void refusal_memory::refused(const address& owner,
                             const refused_work& work,
                             duration retry_after,
                             double point,
                             time_point now)
{
    const auto longest = std::min<duration>(retry_after, longest_pause);
    const double part = least_part + (1 - least_part) * point;
    const auto pause = std::chrono::duration_cast<duration>(longest * part);
    m_refusals[work][owner] = {now + pause, pause, retry_after};
}

void refusal_memory::asked(const address& owner,
                           const refused_work& work,
                           time_point now)
{
    const auto sort = m_refusals.find(work);
    if (sort == m_refusals.end())
        return;
    const auto known = sort->second.find(owner);
    if (known != sort->second.end())
        known->second.until = now + known->second.pause;
}

void refusal_memory::admitted(const address& owner, const refused_work& work)
{
    const auto sort = m_refusals.find(work);
    if (sort != m_refusals.end())
        sort->second.erase(owner);
}

std::vector<address> refusal_memory::refusing(const refused_work& work,
                                              time_point now)
{
    const auto found = m_refusals.find(work);
    if (found == m_refusals.end())
        return {};
    std::erase_if(found->second, [&](const auto& each)
                  { return each.second.until + kept <= now; });
    std::vector<address> owners;
    for (const auto& [owner, told] : found->second)
        if (now < told.until)
            owners.push_back(owner);
    return owners;
}

duration refusal_memory::retry_after(const refused_work& work,
                                     time_point now) const
{
    const auto found = m_refusals.find(work);
    duration shortest{};
    if (found == m_refusals.end())
        return shortest;
    for (const auto& [owner, told] : found->second)
        if (now < told.until &&
            (shortest == duration::zero() || told.retry_after < shortest))
            shortest = told.retry_after;
    return shortest;
}

} // namespace tillerhall
