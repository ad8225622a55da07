#include "tillerhall/proxy/entry_log.hpp"
#include "tillerhall/observe/log.hpp"
#include "tillerhall/proxy/target_owner.hpp"

namespace tillerhall
{
namespace
{

/** Adds what tells this send of the call from its other sends. */
void add_send(boost::json::object& line, const std::optional<last_send>& sent)
{
    if (!sent)
        return;
    line["target"] = sent->target;
    line["connection"] = sent->connection;
    line["place"] = sent->place;
    line["skipped"] = sent->skipped;
}

} // namespace

entry_log::entry_log(blackboard& board, const address& own, const worker& on)
    : m_board(board)
    , m_own(own)
    , m_worker(on)
    , m_waits(board.metrics.histogram(wait_metric, "from=\"client\""))
{
}

call_start entry_log::call_started(time_point received)
{
    const call_start begin{.received = received,
                           .waited = steady_clock::now() - received,
                           .busy_for = m_worker.busy_for()};
    m_waits.record(exact_ms(begin.waited));
    if (m_was_saturated != m_worker.is_saturated())
        log_saturation(begin.busy_for);
    return begin;
}

void entry_log::log_saturation(duration busy_for)
{
    m_was_saturated = !m_was_saturated;
    m_board.decisions.note(
        m_was_saturated ? "processor_pressed" : "processor_relieved",
        m_own.text(),
        m_was_saturated ? "work has been standing"
                        : "no work was standing for a second",
        {{"busy_ms", to_ms(busy_for)},
         {"calls_in_flight", m_board.calls_in_flight.load()}});
}

void entry_log::no_route(const std::string& id,
                         std::string_view host,
                         std::string_view target,
                         const call_routes& routes)
{
    constexpr std::size_t max_shown = 100;
    m_board.metrics.get("tillerhall_no_route_total").add();
    m_board.call_lines.write(
        log_level::info, "no_route",
        {{"id", id},
         {"host", host.substr(0, max_shown)},
         {"path", target.substr(0, target.find('?')).substr(0, max_shown)},
         {"routes", routes.version()},
         {"routes_age_ms",
          to_ms(steady_clock::now() - m_board.routes_confirmed.load())}});
}

void entry_log::call_refused(const std::string& reason)
{
    m_board.metrics.get("tillerhall_refused_total", "reason=\"" + reason + "\"")
        .add();
}

void entry_log::call_sent_again(const owner_call& call,
                                const owner_answer& refusal)
{
    if (may_repeat(call.kind) || !refusal.sent)
        return;
    boost::json::object line{{"id", call.request_id},
                             {"service", call.service},
                             {"reason", refusal.reason},
                             {"proof", name_of(refusal.end.proof())}};
    add_send(line, refusal.sent);
    m_board.call_lines.write(log_level::info, "call_sent_again",
                             std::move(line));
}

void entry_log::call_finished(const owner_call& call,
                              const call_start& begin,
                              const call_progress& progress,
                              const owner_answer& answer)
{
    const auto service_label = "service=\"" + call.service + "\"";
    m_board.metrics
        .get("tillerhall_calls_total", service_label + ",end=\"" +
                                           std::string(name_of(answer.end)) +
                                           "\"")
        .add();
    const auto took = to_ms(steady_clock::now() - begin.received);
    if (answer.end == call_end::answered)
        return m_board.metrics.histogram("tillerhall_call_ms", service_label)
            .record(static_cast<double>(took));
    const auto proof = name_of(answer.end.proof());
    if (answer.end == call_end::not_run)
        m_board.metrics
            .get("tillerhall_not_run_total",
                 "proof=\"" + std::string(proof) + "\"")
            .add();
    boost::json::object line{{"id", call.request_id},
                             {"service", call.service},
                             {"end", name_of(answer.end)},
                             {"reason", answer.reason},
                             {"proof", proof},
                             {"took_ms", took},
                             {"waited_ms", to_ms(begin.waited)},
                             {"busy_ms", to_ms(begin.busy_for)},
                             {"targets_reached", progress.targets_reached},
                             {"owners_tried", progress.owners_tried},
                             {"targets_ended", progress.targets_crashed},
                             {"sends", progress.sends},
                             {"call", progress.fingerprint},
                             {"load", answer.report.load.value_or(-1)},
                             {"routes", progress.routes_version}};
    add_send(line, progress.sent);
    m_board.call_lines.write(log_level::info, "call_failed", std::move(line));
}

} // namespace tillerhall
