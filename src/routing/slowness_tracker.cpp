#include "tillerhall/routing/slowness_tracker.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

duration divided(duration span, double by)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(span) / by);
}

} // namespace

void slowness_tracker::take(double slowness, time_point received)
{
    if (m_has_report && received < m_reported.at)
        return;
    m_reported = begin(received);
    m_slowness = slowness;
    m_has_report = true;
}

void slowness_tracker::reset()
{
    *this = {};
}

double slowness_tracker::slowness(time_point now) const noexcept
{
    const bool is_valid =
        m_has_report && now < m_reported.at + target_load::slowness_valid;
    return is_valid ? m_slowness : 1;
}

slowness_tracker::mark slowness_tracker::begin(time_point now) const noexcept
{
    auto reached = m_reported;
    reached.at = now;
    if (!m_has_report)
        return reached;
    const auto covered = std::clamp<duration>(
        now - m_reported.at, duration::zero(), target_load::slowness_valid);
    reached.covered += covered;
    reached.usual += divided(covered, m_slowness);
    return reached;
}

duration slowness_tracker::usual_run(const mark& from,
                                     time_point now) const noexcept
{
    const auto end = begin(now);
    const auto took = now - from.at;
    const auto covered = end.covered - from.covered;
    // A reset during the run makes the difference meaningless.
    if (covered < duration::zero() || covered > took)
        return took;
    return end.usual - from.usual + divided(took - covered, slowness(now));
}

} // namespace tillerhall
