#include "tillerhall/proxy/target_loads.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/node/blackboard.hpp"

#include <cmath>
#include <utility>

namespace tillerhall
{
namespace
{

// A target is noted as slow from the first figure on, until it falls below the
// second one: it changes many times a second.
constexpr double slow_from = 2;
constexpr double slow_until = 1.5;
constexpr double percent = 100;
// A single run too many may be one that ends as the target reports it.
constexpr std::int64_t noted_foreign_runs = 2;
// A call reaches the target within this time, also on a busy host.
constexpr milliseconds settle_time(5);
// A call is overdue after so many times its expected run: a target that has
// just become slow takes 2.5 times the usual. The least time keeps short calls
// from being given up because the host is busy.
constexpr int overdue_runs = 3;
constexpr milliseconds min_overdue(100);
// For so long a round trip bounds the time that requests and answers take.
constexpr milliseconds round_trip_valid(300);

} // namespace

target_loads::sent_call::sent_call(target_loads& in,
                                   const std::string& start,
                                   tcp_stream& stream,
                                   time_point begun,
                                   duration run)
    : m_in(in)
    , m_stream(stream)
    , m_begun(begun)
    , m_overdue_from(begun +
                     std::max<duration>(run * overdue_runs, min_overdue))
    , m_is_at_current_start(start == in.m_start)
{
    in.m_sent_calls.push_back(*this);
}

target_loads::sent_call::~sent_call()
{
    if (m_sent && m_is_at_current_start && !m_is_answering && !m_is_given_up)
        m_in.m_missing.call_ended(*m_sent);
}

bool target_loads::sent_call::is_silent()
{
    boost::system::error_code failed;
    if (!m_is_answering && m_stream.socket().available(failed) > 0)
        response_began();
    return !m_is_answering;
}

bool target_loads::sent_call::was_sent(time_point until) const noexcept
{
    return m_is_at_current_start && !m_is_answering && m_sent &&
           *m_sent <= until;
}

void target_loads::sent_call::give_up()
{
    m_is_given_up = true;
    unlink();
    reset_stream(m_stream);
}

void target_loads::sent_call::request_sent()
{
    m_sent = steady_clock::now();
}

void target_loads::sent_call::response_began()
{
    if (!std::exchange(m_is_answering, true) && m_sent && m_is_at_current_start)
        m_in.m_missing.answer_began(*m_sent, m_in.m_worker.earliest_arrival());
}

target_loads::target_loads(blackboard& board, const worker& on)
    : m_board(board)
    , m_worker(on)
    , m_slow_log(board, {"target_slow", "target_usual_speed"})
    , m_foreign_log(board, {"foreign_runs", "foreign_runs_ended"})
    , m_slowness(board.metrics.get(slowness_metric))
    , m_foreign_runs(board.metrics.get(foreign_runs_metric))
{
}

void target_loads::set_target(const std::string& start,
                              bool is_older,
                              time_point now)
{
    if (start == m_start)
        return;
    m_start = start;
    for (auto& each : m_sent_calls)
        each.start_ended();
    m_suspects_missing = false;
    m_logged_invalid = false;
    m_speed.reset();
    m_missing.reset();
    m_last_report = {};
    m_foreign.target_started(is_older, now);
    update(now);
}

void target_loads::take(const std::string& start,
                        const boost::beast::http::fields& head,
                        bool ran,
                        time_point sent,
                        time_point received)
{
    if (start != m_start)
        return;
    m_foreign.answered();
    const auto load = m_read ? m_read(head) : std::nullopt;
    if (!load)
        return;
    if (!*load)
        return log_invalid(load->reason());
    m_speed.take((*load)->slowness, received);
    const auto is_settled = [&](const sent_call& each)
    { return each.begun() + settle_time <= received; };
    const auto settled = std::ranges::count_if(m_sent_calls, is_settled);
    const std::int64_t own = std::ssize(m_sent_calls);
    m_last_report = received;
    m_reported_calls = (*load)->calls();
    const auto silent =
        own - std::ranges::count_if(m_sent_calls, &sent_call::is_answering);
    m_suspects_missing =
        silent > m_reported_calls - m_foreign.answered_run(ran);
    if (!ran)
        take_round_trip(received - sent, received);
    if (m_suspects_missing && received < m_round_trip_at + round_trip_valid)
        take_missing(m_reported_calls - m_foreign.answered_run(ran),
                     ran ? received - m_round_trip : sent, received);
    m_foreign.take({.calls = (*load)->calls(),
                    .own = own,
                    .own_settled = settled,
                    .ran = ran,
                    .received = received});
    update(received);
}

void target_loads::take_round_trip(duration trip, time_point received)
{
    const bool has_recent = received < m_round_trip_at + round_trip_valid;
    m_round_trip = has_recent ? std::max(trip, m_last_trip) : trip;
    m_last_trip = trip;
    m_round_trip_at = received;
}

void target_loads::take_missing(std::int64_t calls,
                                time_point sent,
                                time_point received)
{
    const auto until = missing_calls::settled_until(sent, received);
    const auto settled = std::ranges::count_if(
        m_sent_calls, [&](sent_call& each)
        { return each.was_sent(until) && each.is_silent(); });
    m_missing.take({calls, settled, sent, received});
}

void target_loads::give_up_missing(time_point now)
{
    const auto until = m_missing.missing_until(now);
    if (!until)
        return;
    for (auto at = m_sent_calls.begin(); at != m_sent_calls.end();)
    {
        auto& each = *at++;
        if (now >= each.overdue_from() && each.was_sent(*until) &&
            each.is_silent())
            give_up(each, now);
    }
}

void target_loads::give_up(sent_call& call, time_point now)
{
    m_board.metrics.get(unanswered_metric).add();
    m_board.call_lines.write(
        log_level::info, "unanswered_call",
        {{"target", m_start},
         {"age_ms", to_ms(now - call.begun())},
         {"reported", m_reported_calls},
         {"sent", std::ssize(m_sent_calls)},
         {"answering",
          std::ranges::count_if(m_sent_calls, &sent_call::is_answering)},
         {"report_age_ms", to_ms(now - m_last_report)}});
    call.give_up();
}

bool target_loads::needs_report(duration recent, time_point now) const
{
    if (m_last_report == time_point{} ||
        (now < m_last_report + recent && !m_suspects_missing))
        return false;
    return std::ranges::any_of(
        m_sent_calls, [&](const sent_call& each)
        { return !each.is_answering() && now >= each.overdue_from(); });
}

void target_loads::update(time_point now)
{
    give_up_missing(now);
    const auto slowness = m_speed.slowness(now);
    const auto shown = std::llround(slowness * percent);
    m_slowness.set(shown);
    const double from = m_slow_log.holds() ? slow_until : slow_from;
    if (m_slow_log.holds() != (slowness > from))
        m_slow_log.change(m_start, {{"percent", shown}}, now);
    const auto foreign = m_foreign.count(now);
    m_foreign_runs.set(foreign);
    const auto least = m_foreign_log.holds() ? 1 : noted_foreign_runs;
    if (m_foreign_log.holds() != (foreign >= least))
        m_foreign_log.change(
            m_start, {{"runs", foreign}, {"own", std::ssize(m_sent_calls)}},
            now);
}

bool target_loads::has_state(time_point now) const
{
    const bool has_unanswered =
        m_last_report != time_point{} && !m_sent_calls.empty();
    return has_unanswered || m_slow_log.holds() || m_foreign_log.holds() ||
           m_foreign.count(now) > 0 || m_foreign.awaits_response(now);
}

void target_loads::log_invalid(const error& reason)
{
    m_board.metrics.get("tillerhall_bad_target_load_total").add();
    if (std::exchange(m_logged_invalid, true))
        return;
    m_board.decisions.note("target_load_invalid", m_start, reason.message());
}

} // namespace tillerhall
