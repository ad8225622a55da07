#include "tillerhall/proxy/target_owner.hpp"
#include "tillerhall/proxy/call_fingerprint.hpp"
#include "tillerhall/routing/answer_backlog.hpp"
#include "tillerhall/routing/queue_wait.hpp"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <cmath>
#include <utility>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

// The target is on the same host: a slower connection means that its backlog is
// full or that it hangs.
constexpr milliseconds connect_timeout(300);
// Limit of idle connections to the target.
constexpr std::size_t max_idle = 32;
// Idle timeout of a target that names none.
constexpr std::chrono::seconds default_idle_timeout(4);
// A request sent just before the target closes the connection would be lost.
constexpr milliseconds idle_margin(1'000);
// A process takes longer to restart; all active runs of a crash learn of it
// within this time.
constexpr milliseconds min_crash_interval(500);
constexpr milliseconds follow_interval(50);
// A health check costs a target up to 6 ms; it is only made while no call can
// tell the load.
constexpr milliseconds check_interval(100);
constexpr milliseconds check_timeout(300);
// All health checks have this id for `stream_pool::take`, so that a late copy
// of a check's response is not taken for that of another.
constexpr std::string_view health_check_id = "health check";
// The wait limit of each call takes effect before this.
constexpr std::int64_t max_queued_calls = 512;
constexpr std::chrono::seconds max_wait(60);
// Reason for refusing a call while the failure domain is drained.
constexpr const char* domain_drained = "domain_drained";
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
// Retry-After of a call that the target refused while it had free slots: there
// is no queue to wait for.
constexpr milliseconds retry_with_room(20);
// A target that refuses every call would attract more by its low load. Where it
// refuses half of its calls at random, so many in a row are rarer than one in
// 60,000.
constexpr int max_refusals_in_a_row = 16;
constexpr std::chrono::seconds refusals_end_after(2);
constexpr unsigned status_server_error = 500;
// A client's clock and the way to the entry shift the time since a first try; a
// booked return must still be recognized as one.
constexpr milliseconds recognition_margin(5);
constexpr const char* returns_metric = "tillerhall_returns_total";
// Statuses that promise the client that its call did not run.
constexpr std::array not_run_statuses{408U, 421U, 429U, 503U};

admission_limits limits_for(std::int64_t slots)
{
    admission_limits limits;
    limits.in_flight = slots;
    limits.queue = max_queued_calls;
    limits.queue_wait = max_wait;
    return limits;
}

/** @return whether a run ended without a server error. */
bool is_good_run(const owner_answer& answer)
{
    return answer.end == call_end::answered &&
           answer.response->result_int() < status_server_error;
}

/** @return the account by which the queue is fair; nested calls and those of
 * unknown accounts share one. */
std::string queue_of(const owner_call& call)
{
    return call.nested ? std::string() : call.account.value_or("");
}

bool is_success(const whole_response& response)
{
    return http::to_status_class(response.result_int()) ==
           http::status_class::successful;
}

} // namespace

target_owner::target_owner(const wire_names& names,
                           const std::string& service,
                           const std::string& domain,
                           blackboard& board,
                           const target_registry& targets,
                           worker& on,
                           const std::string& own_ip)
    : m_names(names)
    , m_service(service)
    , m_domain(domain)
    , m_board(board)
    , m_targets(targets)
    , m_worker(on)
    , m_admission(limits_for(1))
    , m_pool(on.io(), max_idle, own_ip)
    , m_notices(names, board)
    , m_loads(board, on)
    , m_waits(board.metrics.histogram(wait_metric, "from=\"peer\""))
    , m_sends(board.metrics.get(target_sends_metric))
{
}

void target_owner::target_changed()
{
    if (const auto* target = m_targets.in_use())
    {
        m_run_stats.set_target(target->start());
        m_notices.set_target(target->start());
        m_loads.set_target(target->start(), target->started_ms < m_created_ms,
                           steady_clock::now());
        update_slots();
        m_admission.set_pace(m_notices.rate_limit());
    }
    m_is_up = true;
}

std::int64_t target_owner::usable_slots(std::int64_t slots) const
{
    const auto now = steady_clock::now();
    const auto& foreign = m_loads.foreign();
    if (m_checks_target && !m_check_failed && foreign.awaits_response(now))
        return 0;
    return foreign.usable(slots, m_admission.mean_run(), now);
}

void target_owner::update_slots()
{
    const auto now = steady_clock::now();
    m_loads.update(now);
    m_admission.set_slowness(m_loads.speed().slowness(now));
    if (const auto* target = m_targets.in_use())
        m_admission.set_limits(limits_for(usable_slots(target->slots)));
    start_following();
}

void target_owner::start_following()
{
    if (m_loads.has_state(steady_clock::now()) &&
        !std::exchange(m_follows_loads, true))
        m_worker.spawn([this] { follow_loads(); });
}

void target_owner::follow_loads()
{
    while (m_loads.has_state(steady_clock::now()))
    {
        check_target();
        update_slots();
        sleep_for(m_worker.io(), follow_interval);
    }
    m_follows_loads = false;
    update_slots();
}

target_owner::health_check
target_owner::check_health(const target_report& target)
{
    auto stream = m_pool.take(target.where, connect_timeout, health_check_id);
    if (!stream || m_targets.has_departed(target.start()))
        return {};
    whole_request request(
        http::verb::get,
        m_board.call_map.get()->terms_of(m_service).health_path, 11);
    request.set(http::field::host, target.where.text());
    cancel_scope scope;
    // A response with a request id is a late one to a call.
    const auto sent = steady_clock::now();
    const exchange_plan plan{.deadline = sent + check_timeout,
                             .id_field = m_names.request_id,
                             .memory = m_memory};
    auto result = exchange(**stream, request, plan, scope);
    count_skipped(result.skipped, "health_check");
    if (result.reusable)
        m_pool.give_back(target.where, std::move(*stream),
                         duration(default_idle_timeout) - idle_margin);
    return {sent, std::move(result.response)};
}

bool target_owner::can_check_health() const
{
    return !m_board.call_map.get()->terms_of(m_service).health_path.empty();
}

bool target_owner::is_healthy(const target_report& target)
{
    const auto response = check_health(target).response;
    return response && response->result() == http::status::ok &&
           !names_other_target(target, *response);
}

bool target_owner::names_other_target(const target_report& target,
                                      const whole_response& check) const
{
    const std::string_view id = check[m_names.target_id];
    return !id.empty() && id != target.id;
}

void target_owner::target_replaced(const target_report& target)
{
    const auto* used = m_targets.in_use();
    if (used == nullptr || used->start() != target.start() || !m_is_up)
        return;
    m_is_up = false;
    m_board.decisions.note("target_replaced", target.start(),
                           "another target answers at its address");
    if (m_on_change)
        m_on_change();
}

void target_owner::check_target()
{
    const auto now = steady_clock::now();
    const auto* used = m_targets.in_use();
    // A target that limits its requests may count health checks.
    if (used == nullptr || !can_check_health() || now < m_next_check ||
        m_notices.rate_limit() ||
        (!m_loads.foreign().awaits_response(now) &&
         m_loads.foreign().count(now) < used->slots &&
         !m_loads.needs_report(check_interval, now)))
        return;
    m_checks_target = true;
    const target_report target(*used);
    const auto check = check_health(target);
    if (check.sent)
        m_check_failed = !check.response;
    if (check.response && names_other_target(target, *check.response))
        target_replaced(target);
    else if (check.response)
        m_loads.take(target.start(), *check.response, false, *check.sent,
                     steady_clock::now());
    // A call that may be missing waits for proof.
    m_next_check =
        steady_clock::now() +
        (m_loads.suspects_missing() ? follow_interval : check_interval);
    m_checks_target = false;
}

double target_owner::slot_load(const target_report& target) const
{
    const auto own = m_admission.load();
    const auto foreign = m_loads.foreign().count(steady_clock::now());
    if (foreign == 0)
        return own;
    const auto usable = std::max<std::int64_t>(1, usable_slots(target.slots));
    return (own * static_cast<double>(usable) + static_cast<double>(foreign)) /
           static_cast<double>(target.slots);
}

bool target_owner::takes_calls() const
{
    return m_targets.in_use() != nullptr && m_is_up &&
           m_board.phase != node_phase::finishing;
}

load_report target_owner::current_load() const
{
    const auto* target = m_targets.in_use();
    load_report report;
    // An idle target that takes no calls must not attract them by a low load.
    report.load = target == nullptr ? m_admission.load() : slot_load(*target);
    if (!takes_calls())
        report.load = std::max(1.0, *report.load);
    const auto now = steady_clock::now();
    if (target != nullptr)
        report.slots = static_cast<double>(
            m_loads.foreign().count(now) > 0
                ? target->slots
                : std::max<std::int64_t>(1, usable_slots(target->slots)));
    if (const double rate = m_admission.paced_per_s(); rate > 0)
        limit_slots(report, rate);
    if (const double rate = cold_rate(now); rate > 0)
    {
        limit_slots(report, rate);
        report.load = std::max(*report.load, m_cold_limiter.used(rate, now));
    }
    report.incoming_bytes = m_incoming.bytes();
    report.slowness = m_loads.speed().slowness(now);
    report.is_saturated = m_worker.is_saturated();
    report.link_backlog =
        std::chrono::duration_cast<milliseconds>(link_backlog());
    return report;
}

void target_owner::limit_slots(load_report& report, double per_s) const
{
    const std::chrono::duration<double> run = m_admission.mean_run();
    report.slots = std::min(report.slots, std::max(1.0, per_s * run.count()));
}

load_report target_owner::current_load_for(const work_class& work) const
{
    constexpr double ms_per_s = 1000;
    const std::chrono::duration<double> run =
        m_run_times.of(work, duration::zero());
    auto report = current_load();
    report.run_ms = run.count() * ms_per_s;
    return report;
}

owner_capacity target_owner::current_capacity() const
{
    owner_capacity made{.service = m_service};
    made.own_used = static_cast<double>(m_usage.own());
    made.lent_used = static_cast<double>(m_usage.lent());
    const auto* target = m_targets.in_use();
    const bool serves = takes_calls() && !is_stopping(m_board.phase) &&
                        !is_domain_drained() && !is_release_closed(*target);
    if (serves)
        made.slots = m_usage.usable(current_load().slots, steady_clock::now());
    return made;
}

void target_owner::record_usage(const owner_answer& answer,
                                bool nested_call_failed)
{
    const auto now = steady_clock::now();
    if (is_good_run(answer))
        m_usage.served(now);
    else if (answer.end == call_end::not_run && answer.reached)
        m_usage.refused(current_load().slots, now);
    else if (answer.end != call_end::cancelled && answer.reached &&
             !nested_call_failed)
        m_usage.failed(now);
}

void target_owner::call_failed(bool no_capacity)
{
    m_shedder.call_failed(no_capacity, steady_clock::now());
}

void target_owner::nested_call_ended(const std::string& service,
                                     nested_end end,
                                     std::optional<double> load)
{
    if (m_limits_dependent_runs)
        m_limiter.ended(service, end, load, steady_clock::now());
    constexpr std::array names{"done", "lacked_capacity", "other"};
    m_board.metrics
        .get("tillerhall_nested_calls_total",
             "service=\"" + service + "\",end=\"" +
                 names[static_cast<std::size_t>(end)] + "\"")
        .add();
    note_limits(service);
}

void target_owner::note_limits(const std::string& service)
{
    const auto changes = m_limiter.take_changes();
    for (const auto& each : changes)
        m_board.decisions.note(
            each.began ? "dependency_limit_began" : "dependency_limit_ended",
            each.service,
            each.began ? "it refuses calls of runs here; fewer runs begin"
                       : "no call was refused and no run held back for 3 s",
            {{"calls_per_s", each.per_s}});
    const auto rate = m_limiter.rate(service);
    if (!rate && changes.empty())
        return;
    m_board.metrics
        .get("tillerhall_dependency_limit_calls_per_s",
             "service=\"" + service + "\"")
        .set(static_cast<std::int64_t>(std::ceil(rate.value_or(0))));
}

std::optional<owner_answer> target_owner::hold_back(const owner_call& call)
{
    const auto now = steady_clock::now();
    std::optional<duration> wait;
    // Only one of both acts: without parent ids the calls of runs are unknown.
    if (m_limits_dependent_runs && m_runs.ids_name_parents())
        wait = m_limiter.hold_back(call.work(), call.urgency(), now);
    else if (m_shedder.sheds(m_random.unit(), now))
        wait = duration::zero();
    if (!wait)
        return std::nullopt;
    auto refused = refuse(call, "runs_fail_further_down");
    refused.others_would_refuse = true;
    refused.retry_after = std::max(refused.retry_after, *wait);
    return refused;
}

duration target_owner::link_backlog() const
{
    if (m_link == nullptr)
        return duration::zero();
    return m_link->backlog() + m_link->time_of(m_reserved_answers.bytes());
}

std::uint64_t target_owner::large_answer(const work_class& work) const
{
    const auto bytes = static_cast<std::uint64_t>(m_answer_sizes.of(work, 0));
    return bytes < link_schedule::large_bytes ? 0 : bytes;
}

duration target_owner::expected_run(const owner_call& call) const
{
    const auto slowness = m_loads.speed().slowness(steady_clock::now());
    const auto mean =
        std::chrono::duration_cast<duration>(m_admission.mean_run() / slowness);
    return std::chrono::duration_cast<duration>(
        m_run_times.expected(call.work(), mean) * slowness);
}

queue_wait_terms target_owner::wait_terms(const owner_call& call) const
{
    return {.objective = call.objective,
            .expected_run = expected_run(call),
            .is_nested = call.nested,
            .is_repeat = call.is_repeat,
            .is_paced = m_admission.paced_per_s() > 0,
            .parent_left = call.parent_left};
}

std::optional<duration>
target_owner::excess_link_wait(const owner_call& call) const
{
    const auto bytes = large_answer(call.work());
    if (m_link == nullptr || bytes == 0)
        return std::nullopt;
    const answer_backlog backlog{.ahead = link_backlog(),
                                 .run = expected_run(call),
                                 .own = m_link->time_of(bytes),
                                 .objective = call.objective,
                                 .elapsed = call.elapsed};
    return backlog.is_too_long() ? std::optional(backlog.wait()) : std::nullopt;
}

owner_answer target_owner::refuse(const owner_call& call,
                                  std::string reason) const
{
    m_board.metrics.get("tillerhall_refused_total", "reason=\"" + reason + "\"")
        .add();
    owner_answer refused;
    refused.end = call_outcome::not_run(not_run_proof::not_sent);
    refused.reason = std::move(reason);
    refused.retry_after = m_admission.retry_after();
    refused.report = current_load_for(call.work());
    return refused;
}

bool target_owner::is_release_closed(const target_report& target) const
{
    return m_board.rollouts.get()->is_closed(m_service, target.release);
}

bool target_owner::is_domain_drained() const
{
    return m_board.drains.get()->contains(m_domain);
}

double target_owner::cold_rate(time_point now) const
{
    return m_targets.is_cold(now)
               ? m_board.call_map.get()->terms_of(m_service).cold_per_s
               : 0;
}

duration target_owner::cold_wait(time_point now) const
{
    const double rate = cold_rate(now);
    return rate > 0 ? m_cold_limiter.wait(rate, now) : duration::zero();
}

owner_answer target_owner::refuse_admission(const owner_call& call,
                                            admission_decision decision)
{
    auto refused = refuse(call, std::string(name_of(decision)));
    if (decision == admission_decision::rate_exceeded)
        refused.retry_after = m_admission.book_return();
    else if (!call.nested)
        book_return(call, decision, refused);
    return refused;
}

slotless_call target_owner::slotless(const owner_call& call) const
{
    return {.rank = call.urgency(),
            .left = call.deadline - steady_clock::now(),
            .in_time = call.objective - call.elapsed - expected_run(call),
            .max_wait = max_queue_wait(wait_terms(call)),
            .earliest = call.min_elapsed() + recognition_margin};
}

void target_owner::book_return(const owner_call& call,
                               admission_decision decision,
                               owner_answer& refused)
{
    const auto now = steady_clock::now();
    note_full(now);
    const auto count = [this](const char* outcome)
    { m_board.metrics.get(returns_metric, outcome).add(); };
    if (call.is_return() && !call.return_handled)
        count("outcome=\"refused\"");
    if (call.is_return() || call.return_handled)
    {
        refused.retry_after = m_returns.unbooked(slotless(call));
        refused.return_handled = true;
        return;
    }
    // With too little time for a run there is less for a later one.
    if (decision == admission_decision::deadline_too_near)
    {
        refused.retry_after = m_returns.unbooked(slotless(call));
        return;
    }
    const auto* target = m_targets.in_use();
    const auto slots = std::max<std::int64_t>(1, target ? target->slots : 1);
    const auto run = m_admission.mean_run();
    const auto told =
        m_returns.book(slotless(call),
                       {.slots = slots,
                        .mean_run = run,
                        .free_after = m_admission.retry_after() -
                                      run * m_admission.in_flight() / slots},
                       now);
    count(told.is_booked ? "outcome=\"booked\"" : "outcome=\"not_booked\"");
    refused.retry_after = told.after;
    refused.return_handled = told.is_booked;
}

void target_owner::note_full(time_point now)
{
    if (m_full.refused(m_service, 1, now))
        m_board.decisions.note("slots_full", m_service,
                               "calls are refused for lack of slots; their "
                               "callers are told when to return",
                               {{"load", m_admission.load()},
                                {"run_ms", to_ms(m_admission.mean_run())}});
}

void target_owner::note_no_longer_full(time_point now)
{
    for (const auto& each : m_full.take_ended(now))
        m_board.decisions.note("slots_free", each.subject,
                               "no call was refused for lack of slots lately",
                               {{"refused", each.refused},
                                {"for_ms", to_ms(each.last - each.began)},
                                {"returns_kept", m_returns.kept()}});
}

void target_owner::take_return(const owner_call& call)
{
    if (call.is_return() && !call.return_handled &&
        m_returns.returned(call.urgency(), call.elapsed, steady_clock::now()))
        m_board.metrics.get(returns_metric, "outcome=\"kept\"").add();
}

owner_answer target_owner::refuse_cold(const owner_call& call,
                                       duration wait) const
{
    auto refused = refuse(call, "target_cold");
    refused.retry_after = wait;
    return refused;
}

bool target_owner::may_probe(const owner_call& call,
                             const call_quarantine& quarantine) const
{
    return call.is_probe && m_active_probes == 0 &&
           quarantine.may_be_probed(true);
}

owner_answer
target_owner::refuse_quarantined(const owner_call& call,
                                 const call_quarantine& quarantine) const
{
    auto refused = refuse(call, crashes_its_targets);
    if (!call.is_probe)
        refused.retry_after = quarantine.left;
    refused.others_would_refuse = true;
    return refused;
}

void target_owner::note_queue()
{
    if (m_admission.stands() == m_queue_stands)
        return;
    m_queue_stands = !m_queue_stands;
    m_board.decisions.note(
        m_queue_stands ? "queue_stands" : "queue_drained", m_service,
        m_queue_stands ? "calls wait for the short time only"
                       : "calls may wait as long as they have");
}

owner_answer target_owner::client_left(const owner_call& call) const
{
    auto left = refuse(call, "client_left");
    left.end = call_end::cancelled;
    return left;
}

time_point target_owner::due(const owner_call& call) const
{
    const auto now = steady_clock::now();
    if (call.is_repeat)
        return now; // it had a slot already
    // Unbooked returns must not take the slots of booked ones.
    if (call.is_return() && !is_booked_return(call))
        return now + call.objective;
    const auto due = now + call.objective - call.elapsed;
    const auto run = expected_run(call);
    // Of a run that is late anyway the calls are as urgent as by their own
    // objective, not more.
    if (call.parent_left && *call.parent_left > run)
        return std::min(due, now + *call.parent_left);
    return due;
}

bool target_owner::is_booked_return(const owner_call& call)
{
    const auto left = call.deadline - steady_clock::now();
    return call.is_return() &&
           !return_schedule::is_unbooked(left, call.elapsed);
}

bool target_owner::is_late(const owner_call& call) const
{
    return !call.nested && !call.is_repeat &&
           call.objective - call.elapsed <= expected_run(call);
}

std::optional<owner_answer>
target_owner::refusal_to_send(const owner_call& call) const
{
    const auto* target = m_targets.in_use();
    if (target == nullptr)
        return refuse(call, "no_target_takes_work");
    if (is_release_closed(*target))
        return refuse(call, "release_closed");
    if (is_domain_drained())
        return refuse(call, domain_drained);
    const auto cold = cold_wait(steady_clock::now());
    if (cold > duration::zero())
        return refuse_cold(call, cold);
    return std::nullopt;
}

owner_answer target_owner::run(const whole_request& request,
                               const owner_call& call,
                               cancel_scope& scope)
{
    if (call.service != m_service)
        return refuse(call, "not_the_owner_of_this_service");
    if (call.constraints)
        apply_constraints(*call.constraints);
    if (auto refused = refusal_to_send(call))
        return std::move(*refused);
    update_slots();
    if (!m_is_up)
        return refuse(call, "target_down");
    if (m_board.phase == node_phase::finishing)
        return refuse(call, "node_ending");
    if (auto refused = hold_back(call))
        return std::move(*refused);
    start_permit permit(m_limiter, call.work());
    if (const auto excess_wait = excess_link_wait(call))
    {
        auto refused = refuse(call, "link_full");
        refused.retry_after = *excess_wait;
        return refused;
    }
    const auto objective_end =
        steady_clock::now() + call.objective - call.elapsed;
    note_no_longer_full(steady_clock::now());
    take_return(call);
    const auto decision = m_admission.acquire(
        m_worker.io(), {.caller = queue_of(call),
                        .weight = call.account_weight,
                        .deadline = call.deadline,
                        .rank = call.queue_rank(),
                        .nested = call.nested,
                        .from_other_domain = call.from_other_domain,
                        .returned = is_booked_return(call),
                        // In an overload late calls must
                        // not delay those that can be in
                        // time, or retries displace first
                        // tries, which then become late.
                        .late = is_late(call),
                        .due = due(call),
                        .max_wait = max_queue_wait(wait_terms(call)),
                        .short_wait = short_queue_wait(wait_terms(call)),
                        .run = expected_run(call),
                        .scope = &scope});
    note_queue();
    if (scope.is_cancelled())
    {
        if (decision == admission_decision::run)
            m_admission.release(m_admission.mean_run());
        return client_left(call);
    }
    if (decision != admission_decision::run)
        return refuse_admission(call, decision);
    // The target's state may have changed while the call was queued.
    if (auto refused = refusal_to_send(call))
    {
        m_admission.release(m_admission.mean_run());
        return std::move(*refused);
    }
    const auto* target = m_targets.in_use();
    // Checked after the wait in the queue: crash records may have arrived.
    const auto quarantine = quarantine_of(*m_board.poison_view.get(), request);
    if (quarantine && !may_probe(call, *quarantine))
    {
        m_admission.release(m_admission.mean_run());
        return refuse_quarantined(call, *quarantine);
    }
    permit.use();
    const probe_guard probe(m_active_probes, quarantine ? 1 : 0);
    const auto begin = steady_clock::now();
    const auto speed_before = m_loads.speed().begin(begin);
    const run_registry::run running(
        m_runs, call.request_id, call.work(), request,
        run_terms{.queue_rank = call.queue_rank(), .due = objective_end});
    const slot_usage::running used(m_usage, call.from_other_domain);
    const auto start = target->start();
    m_run_stats.run_started(start);
    m_returns.started(call.urgency(), call.nested, begin);
    m_cold_limiter.sent(begin);
    const bool is_cold = m_targets.is_cold(begin);
    const byte_backlog::body reserved(&m_reserved_answers,
                                      large_answer(call.work()));
    auto answer = send(request, call, target_report(*target), scope);
    if (answer.end == call_end::answered)
        m_limiter.ran(call.work(), running.calls(),
                      running.nested_call_failed());
    const auto took = answer.end == call_end::answered
                          ? steady_clock::now() - begin
                          : m_admission.mean_run();
    m_admission.release(took);
    m_run_stats.run_finished(
        start, call.work(), answer,
        {steady_clock::now() - begin, is_cold, running.nested_call_failed()});
    record_usage(answer, running.nested_call_failed());
    if (is_good_run(answer))
    {
        m_run_times.ran(call.work(), m_loads.speed().usual_run(
                                         speed_before, steady_clock::now()));
        m_answer_sizes.answered(call.work(), answer.response->body().size());
        record_good_run(request, quarantine.has_value());
    }
    if (answer.end == call_end::answered)
        m_shedder.ran(answer.response->result_int() == status_server_error,
                      steady_clock::now());
    answer.report = current_load_for(call.work());
    answer.constraints = constraints_of(start);
    return answer;
}

outgoing_request
target_owner::request_to_target(const whole_request& request,
                                const owner_call& call,
                                const target_report& target) const
{
    auto sent = view_of(request);
    remove_hop_fields(sent);
    sent.version(11);
    sent.keep_alive(true);
    sent.set(m_names.request_id, call.request_id);
    sent.set(m_names.caller, call.origin);
    sent.set(m_names.expected_target, target.id);
    if (call.account)
    {
        sent.erase(m_names.account);
        if (!call.account->empty())
            sent.set(m_names.account, *call.account);
    }
    sent.set(m_names.time_left,
             std::to_string(std::max<std::int64_t>(
                 1, to_ms(call.deadline - steady_clock::now()))));
    // The body is framed by its length, whatever the framing before.
    if (!request.body().empty() || request.has_content_length() ||
        request.chunked())
        sent.content_length(sent.body().size());
    return sent;
}

owner_answer target_owner::send(const whole_request& request,
                                const owner_call& call,
                                const target_report& target,
                                cancel_scope& scope)
{
    auto stream = m_pool.take(target.where, connect_timeout, call.request_id);
    if (!stream)
    {
        m_is_up = false;
        if (m_on_change)
            m_on_change();
        return refuse(call, "target_not_reached");
    }
    if (scope.is_cancelled_now())
        return client_left(call);
    // The wait for the connection may have used up the remaining time.
    if (steady_clock::now() >= call.deadline ||
        m_targets.has_departed(target.start()))
        return refuse(call, "too_late_to_send");
    auto sent = request_to_target(request, call, target);
    const auto sent_at = steady_clock::now();
    m_sends.add();
    std::optional<target_loads::sent_call> outstanding;
    outstanding.emplace(m_loads, target.start(), **stream, sent_at,
                        expected_run(call));
    start_following();
    auto result = exchange(**stream, sent,
                           {.deadline = call.deadline,
                            .id_field = m_names.request_id,
                            .id = call.request_id,
                            .observer = &*outstanding,
                            .memory = m_memory},
                           scope);
    if (outstanding->is_given_up() && result.end == exchange_end::unknown)
        result.detail = "the target left the call unanswered";
    outstanding.reset();
    const last_send sent_as{target.start(), stream->number(), stream->carried(),
                            result.skipped};
    count_skipped(result.skipped, "call");
    if (result.response && result.response->result_int() == status_misdirected)
        target_replaced(target);
    else if (result.response)
        take_notice(target, *result.response, sent_at);
    if (result.reusable)
    {
        const auto idle_timeout = keep_alive_timeout(*result.response);
        m_pool.give_back(target.where, std::move(*stream),
                         duration(idle_timeout.value_or(default_idle_timeout)) -
                             idle_margin);
    }
    const bool lost = result.end == exchange_end::unknown;
    const unsigned status = result.response ? result.response->result_int() : 0;
    auto answer = classify_result(call, std::move(result));
    if (answer.end != call_end::answered)
        answer.sent = sent_as;
    note_refusal(target, status, answer);
    answer.target_crashed = lost && has_crashed(target);
    return answer;
}

void target_owner::count_skipped(unsigned responses, const char* during)
{
    if (responses > 0)
        m_board.metrics
            .get("tillerhall_skipped_responses_total",
                 "during=\"" + std::string(during) + "\"")
            .add(responses);
}

void target_owner::apply_constraints(const target_constraints& known)
{
    if (known.is_leaving)
        target_leaves(known.start);
    if (!known.rate_limit)
        return;
    m_notices.adopt(known.start, *known.rate_limit);
    m_admission.set_pace(m_notices.rate_limit());
}

void target_owner::target_leaves(const std::string& start)
{
    if (m_on_leaving && !m_targets.has_departed(start))
        m_on_leaving(start);
}

std::optional<target_constraints>
target_owner::constraints_of(const std::string& start) const
{
    target_constraints said{.start = start};
    said.is_leaving = m_targets.has_departed(start);
    if (start == m_notices.target())
        said.rate_limit = m_notices.rate_limit();
    return said.is_leaving || said.rate_limit ? std::optional(std::move(said))
                                              : std::nullopt;
}

void target_owner::take_notice(const target_report& target,
                               const whole_response& response,
                               time_point sent)
{
    m_loads.take(target.start(), response, response.count(m_names.not_run) == 0,
                 sent, steady_clock::now());
    update_slots();
    const auto notice = m_notices.take(target.start(), response, sent);
    m_admission.set_pace(m_notices.rate_limit());
    if (notice.is_leaving)
        target_leaves(target.start());
}

bool target_owner::has_crashed(const target_report& target)
{
    const auto* used = m_targets.in_use();
    if (used == nullptr || used->start() != target.start())
        return false; // it is in a planned stop and may exit at any time
    const auto failed =
        m_pool.probe(target.where, connect_timeout,
                     duration(default_idle_timeout) - idle_margin);
    if (failed != boost::asio::error::connection_refused)
        return false;
    const auto now = steady_clock::now();
    if (now < m_crashed_at + min_crash_interval)
        return true; // another active run has already recorded the crash
    m_crashed_at = now;
    record_crash(target);
    return true;
}

bool target_owner::has_room_after(const target_report& target,
                                  unsigned status) const
{
    const bool names_other_reason =
        status == status_misdirected || status == status_too_many ||
        m_admission.paced_per_s() > 0 || m_targets.has_departed(target.start());
    // A run whose answer was given up may still hold its slot for a mean run.
    const auto lost = std::ranges::count_if(
        m_runs_given_up, [since = steady_clock::now() - m_admission.mean_run()](
                             time_point at) { return at > since; });
    // The refused call is itself in flight and fits by this count.
    return !names_other_reason &&
           m_admission.in_flight() + lost <= target.slots &&
           m_refusals.in_a_row < max_refusals_in_a_row;
}

void target_owner::note_refusal(const target_report& target,
                                unsigned status,
                                owner_answer& answer)
{
    const auto now = steady_clock::now();
    if (answer.end != call_end::not_run && answer.end != call_end::answered)
        m_runs_given_up[m_next_given_up++ % m_runs_given_up.size()] = now;
    if (answer.end == call_end::not_run && answer.reached)
    {
        answer.refused_with_room = has_room_after(target, status);
        ++m_refusals.in_a_row;
        m_board.metrics
            .get("tillerhall_target_refusals_total", answer.refused_with_room
                                                         ? "room=\"free\""
                                                         : "room=\"unknown\"")
            .add();
    }
    else if (answer.end == call_end::answered)
        m_refusals.in_a_row = 0;
    if (answer.refused_with_room)
    {
        answer.retry_after = retry_with_room;
        m_refusals.last = now;
        ++m_refusals.counted;
        if (!std::exchange(m_refusals.is_active, true))
            m_board.decisions.note(
                "target_refuses_with_room", target.start(),
                "the target refuses calls while it has free slots",
                {{"in_flight", m_admission.in_flight()},
                 {"slots", target.slots}});
    }
    else if (m_refusals.is_active &&
             now >= m_refusals.last + refusals_end_after)
    {
        m_board.decisions.note("target_refusals_ended", target.start(),
                               "no refusal with free slots for 2 s",
                               {{"refusals", m_refusals.counted}});
        m_refusals = {.in_a_row = m_refusals.in_a_row};
    }
}

owner_answer target_owner::classify_result(const owner_call& call,
                                           exchange_result result) const
{
    owner_answer answer;
    answer.reached = is_handed_over(result.end);
    answer.reason = result.detail;
    answer.end = outcome_of(result.end);
    if (answer.end != call_end::answered)
        return answer;
    auto& response = *result.response;
    const auto status = response.result_int();
    if (response.count(m_names.not_run) != 0 || status == status_misdirected)
    {
        answer.end = call_outcome::not_run(not_run_proof::target_refusal);
        answer.reason = "refused by the target with " + std::to_string(status);
        answer.retry_after = m_admission.retry_after();
        return answer;
    }
    const bool is_sealed = m_names.success_seal.empty() ||
                           response.count(m_names.success_seal) != 0;
    const bool is_encoded = response.count(http::field::content_encoding) != 0;
    if (is_success(response) && (!is_sealed || is_encoded))
    {
        answer.end = call_end::unknown;
        answer.reason = "a success that the target does not vouch for";
        return answer;
    }
    // If forwarded, such a status would make a promise that is not certain.
    if (!may_repeat(call.kind) &&
        std::ranges::find(not_run_statuses, status) != not_run_statuses.end())
    {
        answer.end = call_end::unknown;
        answer.reason = "status " + std::to_string(status) +
                        " without the target's word that it did not run";
        return answer;
    }
    remove_hop_fields(response);
    answer.response = std::move(response);
    answer.memory = std::move(result.memory);
    return answer;
}

whole_response target_owner::answer_load_query(const whole_request& query)
{
    note_no_longer_full(steady_clock::now());
    owner_call call;
    call.request_id = load_query_id;
    owner_answer answer;
    answer.end = call_outcome::not_run(not_run_proof::not_sent);
    answer.report = current_load();
    if (const auto bytes = claimed_bytes(query))
        // Rounded up, because zero grants the slot.
        answer.retry_after =
            std::chrono::ceil<milliseconds>(claim_transfer_slot(*bytes));
    return to_hop_response(std::move(answer), call, m_names.request_id);
}

whole_response target_owner::refuse_body(const request_head& head,
                                         duration retry_after) const
{
    owner_call call;
    call.request_id = std::string(head[m_names.request_id]);
    auto refused = refuse(call, no_body_memory);
    refused.retry_after = retry_after;
    return to_hop_response(std::move(refused), call, m_names.request_id);
}

whole_response target_owner::answer_peer(received_request& request,
                                         cancel_scope& scope)
{
    if (is_load_query(request.message))
        return answer_load_query(request.message);
    auto call = take_hop_fields(request, m_names.request_id);
    if (!call)
    {
        owner_answer refused = refuse({}, "malformed_hop_fields");
        return to_hop_response(std::move(refused), {}, m_names.request_id);
    }
    m_waits.record(exact_ms(steady_clock::now() - request.received));
    const bool is_limited = limit_deadline(*call, m_board.calls_end);
    request.answer_due = std::min(
        request.received + call->objective - call->elapsed, call->deadline);
    auto answer = run(request.message, *call, scope);
    if (is_limited)
        ended_early(answer);
    request.answer_memory = std::move(answer.memory);
    return to_hop_response(std::move(answer), *call, m_names.request_id);
}

} // namespace tillerhall
