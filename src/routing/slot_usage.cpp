#include "tillerhall/routing/slot_usage.hpp"

#include <cmath>

namespace tillerhall
{
namespace
{

// Weight of the newest run in the share of bad ones: some 20 runs, a second of
// a busy target.
constexpr double newest_share = 0.05;
// Half-life of the share without runs, as of other knowledge about targets.
constexpr double half_life_s = 5;

} // namespace

void slot_usage::record(double bad, time_point now)
{
    m_bad += (bad - m_bad) * newest_share;
    m_recorded_at = now;
}

double slot_usage::usable(double slots, time_point now) const
{
    const std::chrono::duration<double> age = now - m_recorded_at;
    return slots * (1 - m_bad * std::exp2(-age.count() / half_life_s));
}

} // namespace tillerhall
