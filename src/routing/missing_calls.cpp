#include "tillerhall/routing/missing_calls.hpp"

#include <algorithm>
#include <utility>

namespace tillerhall
{
namespace
{

duration round_trip(time_point sent, time_point received)
{
    return std::max<duration>(received - sent, missing_calls::min_trip);
}

} // namespace

time_point missing_calls::settled_until(time_point sent, time_point received)
{
    return sent - round_trip(sent, received);
}

void missing_calls::take(const report& seen)
{
    const auto missing = seen.settled - seen.calls;
    if (missing <= (m_evidence ? m_evidence->missing : 0))
        return;
    const auto transit = round_trip(seen.sent, seen.received) * transit_trips;
    m_evidence =
        evidence{.settled_until = settled_until(seen.sent, seen.received),
                 .in_transit_until = seen.received + transit,
                 .unanswered = seen.settled,
                 .missing = missing};
}

void missing_calls::answer_began(time_point sent, time_point arrived)
{
    if (!m_evidence || sent > m_evidence->settled_until)
        return;
    --m_evidence->unanswered;
    if (arrived <= m_evidence->in_transit_until)
        --m_evidence->missing;
    if (m_evidence->missing <= 0)
        m_evidence.reset();
}

void missing_calls::call_ended(time_point sent)
{
    if (!m_evidence || sent > m_evidence->settled_until)
        return;
    --m_evidence->unanswered;
    // Which kind it was is not known.
    --m_evidence->missing;
    if (m_evidence->missing <= 0)
        m_evidence.reset();
}

std::optional<time_point> missing_calls::missing_until(time_point now)
{
    if (!m_evidence || now <= m_evidence->in_transit_until ||
        m_evidence->unanswered > m_evidence->missing)
        return std::nullopt;
    const auto proved =
        std::exchange(m_proved_until, m_evidence->settled_until);
    m_evidence.reset();
    return proved;
}

} // namespace tillerhall
