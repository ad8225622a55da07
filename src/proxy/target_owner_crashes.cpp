/** @file The part of the owner that records crashes of its target. */
#include "tillerhall/proxy/call_fingerprint.hpp"
#include "tillerhall/proxy/target_owner.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace tillerhall
{
namespace
{

// Minimum time before the same call is announced again; until then this node's
// view may still show it as a poison call.
constexpr std::uint64_t announce_interval_ms = 1'000;
constexpr std::size_t max_announced = 16;

} // namespace

void target_owner::record_crash(const target_report& target)
{
    m_is_up = false;
    m_last_crash = make_crash_record(target);
    if (m_on_change)
        m_on_change();
}

void target_owner::record_good_run(const whole_request& request,
                                   bool was_quarantined)
{
    // A single good run is not announced: most such calls are never retried.
    if (was_quarantined || m_recent_good_runs.contain(request))
        announce_good_run(request);
    else
        m_recent_good_runs.ran(request);
}

void target_owner::announce_good_run(const whole_request& request)
{
    const auto known = m_board.poison_view.get();
    if (known->empty() || !known->knows_head(head_fingerprint(request)))
        return;
    const auto call = fingerprint_of(request).text();
    const auto now_ms = wall_clock_ms();
    const bool was_announced = std::ranges::any_of(
        m_good_runs,
        [&](const good_run& each) {
            return each.call == call &&
                   now_ms < each.at_ms + announce_interval_ms;
        });
    if (was_announced || known->find(call) == nullptr)
        return;
    m_good_runs.push_back({call, now_ms});
    if (m_good_runs.size() > max_announced)
        m_good_runs.erase(m_good_runs.begin());
    m_board.decisions.note("call_cleared", call, "it runs well here");
    if (m_on_change)
        m_on_change();
}

target_crash target_owner::make_crash_record(const target_report& target)
{
    target_crash end;
    end.target_id = target.start();
    end.at_ms = wall_clock_ms();
    std::set<std::string> calls;
    for (const auto* each : m_runs.active_requests())
    {
        if (!m_recent_good_runs.contain(*each) &&
            calls.size() < target_crash::max_calls)
            calls.insert(fingerprint_of(*each).text());
        m_recent_good_runs.forget(*each);
    }
    end.calls.assign(calls.begin(), calls.end());
    m_board.decisions.note("target_ended", target.id,
                           "it lost its calls and refuses connections",
                           {{"calls", boost::json::value_from(end.calls)},
                            {"runs", m_runs.active_requests().size()}});
    return end;
}

} // namespace tillerhall
