#include "tillerhall/routing/refusal_cache.hpp"

#include <algorithm>

namespace tillerhall
{

void refusal_cache::refused(const address& owner,
                            const refused_work& work,
                            duration retry_after,
                            double point,
                            time_point now)
{
    const auto longest = std::min<duration>(retry_after, longest_pause);
    const double part = min_part + (1 - min_part) * point;
    const auto pause = std::chrono::duration_cast<duration>(longest * part);
    m_refusals[work][owner] = {now + pause, pause, retry_after};
}

void refusal_cache::asked(const address& owner,
                          const refused_work& work,
                          time_point now)
{
    const auto by_owner = m_refusals.find(work);
    if (by_owner == m_refusals.end())
        return;
    const auto known = by_owner->second.find(owner);
    if (known != by_owner->second.end())
        known->second.until = now + known->second.pause;
}

void refusal_cache::admitted(const address& owner, const refused_work& work)
{
    const auto by_owner = m_refusals.find(work);
    if (by_owner != m_refusals.end())
        by_owner->second.erase(owner);
}

std::vector<address> refusal_cache::refusing(const refused_work& work,
                                             time_point now)
{
    const auto found = m_refusals.find(work);
    if (found == m_refusals.end())
        return {};
    std::erase_if(found->second, [&](const auto& each)
                  { return each.second.until + retention <= now; });
    std::vector<address> owners;
    for (const auto& [owner, cached] : found->second)
        if (now < cached.until)
            owners.push_back(owner);
    return owners;
}

duration refusal_cache::retry_after(const refused_work& work,
                                    time_point now) const
{
    const auto found = m_refusals.find(work);
    duration shortest{};
    if (found == m_refusals.end())
        return shortest;
    for (const auto& [owner, cached] : found->second)
        if (now < cached.until &&
            (shortest == duration::zero() || cached.retry_after < shortest))
            shortest = cached.retry_after;
    return shortest;
}

} // namespace tillerhall
