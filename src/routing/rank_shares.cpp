#include "tillerhall/routing/rank_shares.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace tillerhall
{
namespace
{

// A rank that is served nearly as often as a more urgent one has enough.
constexpr double enough = 0.9;
// Above the noise of counts.
constexpr double ahead = 1.05;
// Long against the noise of single calls, short against a change of load.
constexpr std::chrono::duration<double> decay_time(5.0);

} // namespace

void rank_shares::counts::decay(time_point now)
{
    const std::chrono::duration<double> passed = now - at;
    const double kept = passed.count() > 0 ? std::exp(-passed / decay_time) : 1;
    arrived *= kept;
    served *= kept;
    at = now;
}

rank_shares::counts& rank_shares::of(std::uint32_t rank, time_point now)
{
    if (m_ranks.size() >= max_ranks && !m_ranks.contains(rank))
        m_ranks.clear();
    auto& found = m_ranks[rank];
    found.decay(now);
    m_all.decay(now);
    return found;
}

void rank_shares::arrived(std::uint32_t rank, time_point now)
{
    of(rank, now).arrived += 1;
    m_all.arrived += 1;
}

void rank_shares::served(std::uint32_t rank, time_point now)
{
    of(rank, now).served += 1;
    m_all.served += 1;
}

bool rank_shares::needs_slots(std::uint32_t rank) const
{
    const auto found = m_ranks.find(rank);
    if (found == m_ranks.end() || found->second.arrived == 0)
        return true;
    const auto& own = found->second;
    const auto is_served_more_often = [&own](const auto& each) {
        return each.second.served * own.arrived >
               own.served * each.second.arrived;
    };
    const bool is_rare =
        own.served * m_all.arrived < min_share * m_all.served * own.arrived;
    return (is_rare || std::any_of(std::next(found), m_ranks.end(),
                                   is_served_more_often)) &&
           !is_above_urgent(rank, enough);
}

bool rank_shares::is_ahead(std::uint32_t rank) const
{
    return is_above_urgent(rank, ahead);
}

bool rank_shares::is_above_urgent(std::uint32_t rank, double factor) const
{
    const auto found = m_ranks.find(rank);
    if (found == m_ranks.end())
        return false;
    const auto& own = found->second;
    const auto is_served_more_often = [&own, factor](const auto& each)
    {
        return own.served * each.second.arrived >
               factor * each.second.served * own.arrived;
    };
    return std::any_of(m_ranks.begin(), found, is_served_more_often);
}

} // namespace tillerhall
