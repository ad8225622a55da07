#include "tillerhall/distribution/write_pace.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// More than the one second of writes that is queued at a refusal.
constexpr std::chrono::seconds min_spread(4);
constexpr std::chrono::seconds max_spread(60);
// Share of the partition's rate; the rest is left for urgent writes.
constexpr double used_share = 0.5;

duration uniform_within(duration span, random_source& random)
{
    return std::chrono::duration_cast<duration>(span * random.unit());
}

} // namespace

duration write_pace::spread_for(std::size_t members) const
{
    const std::chrono::duration<double> seconds(static_cast<double>(members) /
                                                (m_per_s * used_share));
    return std::chrono::duration_cast<duration>(seconds);
}

duration write_pace::initial_delay(std::size_t members,
                                   random_source& random) const
{
    return uniform_within(std::min<duration>(spread_for(members), max_spread),
                          random);
}

duration write_pace::delay_after_refusal(std::size_t members,
                                         random_source& random)
{
    constexpr unsigned max_doublings = 4;
    const auto grown = min_spread * (1U << std::min(m_refusals, max_doublings));
    const auto span = std::max<duration>(grown, spread_for(members));
    ++m_refusals;
    return uniform_within(std::min<duration>(span, max_spread), random);
}

} // namespace tillerhall
