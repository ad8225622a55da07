#include "tillerhall/routing/foreign_runs.hpp"

#include <algorithm>
#include <limits>

namespace tillerhall
{
namespace
{

// Targets differ in whether the load in a response includes the run that it
// answers. Without foreign runs all reports show one call too many if it does.
// The first weight is so small that the few reports received while runs of an
// earlier owner end do not count as evidence; the second one so small that a
// call which the target leaves unanswered, and so lacks in all reports until it
// is overdue, does not either.
constexpr double one_more_weight = 1.0 / 32;
constexpr double none_more_weight = 1.0 / 256;
// Of two responses this close the first may be part of the second one's load.
constexpr milliseconds min_distance(5);
constexpr double includes_from = 0.75;
// Least time without a report before a call may bring one. Health checks, where
// they report loads, are more frequent.
constexpr milliseconds min_pause(250);

} // namespace

void foreign_runs::target_started(bool may_run_others, time_point now)
{
    m_awaits_response = may_run_others;
    m_started = now;
    // The first report is taken with all calls that may be others'.
    m_count = may_run_others ? std::numeric_limits<std::int64_t>::max() : 0;
    m_received = {};
}

std::int64_t foreign_runs::answered_run(bool ran) const noexcept
{
    return ran && m_one_more > includes_from ? 1 : 0;
}

void foreign_runs::take(const response& seen)
{
    if (seen.received < m_received)
        return;
    const auto included = answered_run(seen.ran);
    const auto beyond = [&](std::int64_t own)
    { return std::max<std::int64_t>(0, seen.calls - included - own); };
    // A call sent just before the report may not be part of it: the count
    // changes only as far as it is certain.
    m_count = std::clamp(m_count, beyond(seen.own), beyond(seen.own_settled));
    if (seen.ran && seen.received >= m_received + min_distance)
        m_one_more += seen.calls > seen.own ? (1 - m_one_more) * one_more_weight
                                            : -m_one_more * none_more_weight;
    m_received = seen.received;
}

std::int64_t foreign_runs::count(time_point now) const noexcept
{
    const bool is_valid =
        m_received != time_point{} && now < m_received + valid_for;
    return is_valid ? m_count : 0;
}

bool foreign_runs::awaits_response(time_point now) const noexcept
{
    return m_awaits_response && now < m_started + valid_for;
}

std::int64_t foreign_runs::usable(std::int64_t slots,
                                  duration mean_run,
                                  time_point now) const noexcept
{
    if (awaits_response(now))
        return std::min(first_calls, slots);
    const auto free = slots - count(now);
    if (free > 0)
        return free;
    return now < m_received + std::max<duration>(mean_run, min_pause) ? 0 : 1;
}

} // namespace tillerhall
