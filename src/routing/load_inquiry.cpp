#include "tillerhall/routing/load_inquiry.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

/** Moves at most @p max_count random elements of @p from to @p into. */
void add_some(std::vector<std::size_t>& into,
              std::vector<std::size_t> from,
              std::size_t max_count,
              random_source& random)
{
    std::ranges::shuffle(from, random);
    from.resize(std::min(max_count, from.size()));
    into.insert(into.end(), from.begin(), from.end());
}

} // namespace

std::vector<std::size_t>
load_inquiry::owners_to_ask(std::span<const owner_estimate> owners,
                            std::size_t preferred,
                            time_point now,
                            random_source& random)
{
    if (owners.size() <= small_service)
        return {};
    const auto with_room =
        std::ranges::count_if(owners, [](const owner_estimate& each)
                              { return each.is_known && each.has_room; });
    if (static_cast<std::size_t>(with_room) >= enough_known)
        return {};
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    std::vector<std::size_t> asked;
    for (std::size_t i = 0; i < owners.size(); ++i)
        if (owners[i].is_known || owners[i].is_excluded)
            continue;
        else if (i == preferred)
            asked.push_back(i);
        else
            (owners[i].is_near ? near : far).push_back(i);
    const auto others = asked.size() + max_near + max_far;
    add_some(asked, std::move(near), max_near, random);
    add_some(asked, std::move(far), others - asked.size(), random);
    if (m_full > mostly_full && !asked.empty())
        asked.resize(random.below(seldom) == 0 ? 1 : 0);
    std::erase_if(asked, [&](std::size_t) { return !m_queries.take(now); });
    return asked;
}

void load_inquiry::answered(bool is_full)
{
    m_full += ((is_full ? 1 : 0) - m_full) * newest_share;
}

} // namespace tillerhall
