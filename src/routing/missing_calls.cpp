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
    if (missing <= 0)
        return;
    if (m_evidence.size() == max_reports)
        m_evidence.erase(m_evidence.begin());
    m_evidence.push_back(
        {.settled_until = settled_until(seen.sent, seen.received),
         .received = seen.received,
         .in_transit_until =
             seen.received + round_trip(seen.sent, seen.received),
         .unanswered = seen.settled,
         .missing = missing});
}

void missing_calls::update_settled(time_point sent,
                                   const std::function<void(evidence&)>& change)
{
    for (auto& each : m_evidence)
        if (sent <= each.settled_until)
            change(each);
    std::erase_if(m_evidence,
                  [](const evidence& each) { return each.missing <= 0; });
}

void missing_calls::answer_began(time_point sent, time_point arrived)
{
    update_settled(sent,
                   [arrived](evidence& each)
                   {
                       --each.unanswered;
                       if (arrived <= each.in_transit_until)
                           --each.missing;
                   });
}

void missing_calls::call_ended(time_point sent)
{
    update_settled(sent,
                   [](evidence& each)
                   {
                       --each.unanswered;
                       --each.missing; // which kind it was is not known
                   });
}

std::optional<time_point> missing_calls::missing_until(time_point now)
{
    const auto proof =
        std::ranges::find_if(m_evidence,
                             [now](const evidence& each) {
                                 return now > each.in_transit_until &&
                                        each.unanswered <= each.missing;
                             });
    if (proof == m_evidence.end())
        return std::nullopt;
    const evidence found = *proof;
    m_evidence.erase(proof);
    if (m_proof && found.received < m_proof->received + confirm_time)
        return std::nullopt;
    const auto earlier = std::exchange(m_proof, found);
    return earlier ? std::optional(
                         std::min(earlier->settled_until, found.settled_until))
                   : std::nullopt;
}

} // namespace tillerhall
