#include "tillerhall/node/entry_proxy.hpp"

#include <algorithm>
#include <array>

namespace tillerhall
{
namespace
{

constexpr std::chrono::minutes idle_timeout(2);
constexpr milliseconds connect_timeout(500);
constexpr std::size_t max_attempts = 3;
constexpr std::size_t max_idle_per_peer = 64;
constexpr std::size_t max_peers = 1024;

call_problem bad_request(unsigned status, std::string detail)
{
    call_problem problem;
    problem.status = status;
    problem.title = "the request was refused";
    problem.detail = std::move(detail);
    problem.remedy = "correct the request; see docs/CALLERS.md";
    return problem;
}

constexpr std::array<std::string_view, 6> outcome_names{
    "answered", "not_run", "unknown", "timed_out", "cut", "caller_gone"};

/** Returns the longest call timeout among the service's places. */
milliseconds longest_timeout(const service_route& route)
{
    const auto most = std::ranges::max(route.places, {},
                                       [](const place_route& each)
                                       { return each.limits.timeout_ms; });
    return milliseconds(most.limits.timeout_ms);
}

double milliseconds_since(time_point start)
{
    return exact_ms(steady_clock::now() - start);
}

std::string_view name_of(relay_end end)
{
    return outcome_names[static_cast<std::size_t>(end)];
}

target_call_outcome verdict_of(const relay_result& result)
{
    constexpr unsigned server_errors = 500;
    if (result.pause > duration::zero())
        return target_call_outcome::rate_limited;
    if (result.end == relay_end::not_run)
        return result.load ? target_call_outcome::refused
                           : target_call_outcome::failed;
    if (result.end == relay_end::caller_gone)
        return target_call_outcome::refused; // not the target's fault
    const bool answered = result.end == relay_end::answered;
    return answered && result.status < server_errors
               ? target_call_outcome::good
               : target_call_outcome::failed;
}

} // namespace

entry_proxy::entry_proxy(const settings& config,
                         blackboard& board,
                         target_board& targets,
                         owner_proxy& local,
                         worker& own_worker,
                         worker& first_worker,
                         claim_controller& claims,
                         unreachable_callback on_unreachable)
    : m_config(config)
    , m_board(board)
    , m_targets(targets)
    , m_local(local)
    , m_worker(own_worker)
    , m_first_worker(first_worker)
    , m_claims(claims)
    , m_on_unreachable(std::move(on_unreachable))
    , m_pool(own_worker.io(), max_idle_per_peer, config.rpc.ip)
{
}

void entry_proxy::serve(tcp_stream& stream)
{
    boost::beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive)
    {
        inbound_call call(stream, buffer);
        stream.expires_after(idle_timeout);
        const auto status = call.read_head();
        if (status == head_status::closed)
            return;
        stream.expires_never();
        if (status == head_status::ok)
            handle(call);
        else
            send_problem(call, "-",
                         status == head_status::too_large
                             ? bad_request(431, "the head is over 16 KB")
                             : bad_request(400, "the head is malformed"));
        keep_alive = status == head_status::ok && call.can_keep_alive() &&
                     !is_stopping(m_board.phase);
    }
}

std::string entry_proxy::caller_name(tcp_stream& stream) const
{
    boost::system::error_code failed;
    const auto remote = stream.socket().remote_endpoint(failed);
    const auto ip = failed ? "" : remote.address().to_string();
    // A call from this host comes from the local target.
    return ip == m_config.caller.ip ? m_config.service : ip;
}

void entry_proxy::handle(inbound_call& call)
{
    auto context = read_context(call.head(), m_worker.earliest_arrival());
    context.caller = caller_name(call.stream());
    const auto fault = framing_fault(call.head());
    if (!fault.empty())
        return send_problem(call, context.request_id, bad_request(400, fault));
    ++m_board.calls_in_flight;
    const auto result = forward(call, context);
    --m_board.calls_in_flight;
    record_call(context, result);
    if (result.end == relay_end::answered ||
        result.end == relay_end::caller_gone || result.end == relay_end::cut)
        return;
    auto problem = problem_of(result);
    if (result.status == 404)
        problem = bad_request(404, result.detail);
    send_problem(call, context.request_id, problem);
}

relay_result entry_proxy::forward(inbound_call& call, call_context& context)
{
    relay_result result;
    result.end = relay_end::not_run;
    if (!m_board.may_take_calls())
    {
        result.detail = "this node is not taking calls";
        return result;
    }
    const auto routes = m_board.routes.get();
    const auto* route = routes->find(context.service);
    if (route == nullptr)
    {
        result.status = 404;
        result.detail = "no service \"" + context.service + "\" in the table";
        return result;
    }
    context.deadline = std::min<time_point>(
        context.deadline, context.start + longest_timeout(*route));
    call.stream().expires_at(context.deadline);
    if (!call.read_prefix())
    {
        result.end = relay_end::caller_gone;
        return result;
    }
    if (const auto quarantine =
            active_quarantine(*m_board.poison_view.get(), call))
        return m_local.refuse_quarantined(*quarantine);
    return needs_claim(call, context) ? forward_claimed(call, context)
                                      : run_with_retries(call, context);
}

relay_result entry_proxy::run_with_retries(inbound_call& call,
                                           call_context& context)
{
    bool may_have_run = false;
    auto result = retry_loop(call, context, may_have_run);
    if (!may_have_run || result.end != relay_end::not_run)
        return result;
    // The last attempt did not run, but an earlier one may have.
    result.end = relay_end::unknown;
    result.detail =
        "an earlier try may have run; the last one: " + result.detail;
    return result;
}

relay_result entry_proxy::retry_loop(inbound_call& call,
                                     call_context& context,
                                     bool& may_have_run)
{
    relay_result result;
    result.end = relay_end::not_run;
    std::vector<address> tried;
    for (std::size_t i = 0; i < max_attempts; ++i)
    {
        // Routes may change between attempts.
        const auto routes_now = m_board.routes.get();
        const auto chosen = m_targets.choose(*routes_now, context.service,
                                             tried, steady_clock::now());
        if (!chosen)
            return i == 0 ? refuse_without_target(context) : result;
        if (i == 0)
            m_targets.count_call(context.service, chosen->limits.retry_percent);
        else if (!take_retry(context.service, result))
            return result;
        else
            m_board.metrics
                .get("tillerhall_retries_total",
                     "service=\"" + context.service + "\"")
                .add();
        const auto begin = steady_clock::now();
        result = attempt(call, context, *chosen);
        may_have_run = may_have_run || result.end == relay_end::unknown;
        context.attempts.push_back({chosen->owner->rpc.text(),
                                    chosen->owner->place.domain,
                                    std::string(name_of(result.end)),
                                    result.detail, milliseconds_since(begin)});
        if (!may_retry(call, context, chosen->limits, result))
            return result;
        tried.push_back(chosen->owner->rpc);
        const bool was_saturated = result.load && *result.load >= 1;
        if (was_saturated && !m_targets.has_room(*routes_now, context.service,
                                                 tried, steady_clock::now()))
            return result;
    }
    return result;
}

relay_result entry_proxy::refuse_without_target(const call_context& context)
{
    relay_result refused;
    refused.end = relay_end::not_run;
    refused.reached_target = false;
    const auto pause = m_targets.pause_left(
        *m_board.routes.get(), context.service, steady_clock::now());
    refused.detail = pause > duration::zero()
                         ? name_of(admission_decision::rate_exceeded)
                         : "no target of this service takes calls";
    if (pause > duration::zero())
        refused.retry_after = std::to_string(
            std::chrono::ceil<std::chrono::seconds>(pause).count());
    return refused;
}

bool entry_proxy::take_retry(const std::string& service,
                             const relay_result& last)
{
    const auto now = steady_clock::now();
    for (const auto& each : m_denied_retries.take_ended(now))
        m_board.decisions.note("retries_allowed", each.subject,
                               "no retry was denied lately",
                               {{"denied", each.refused},
                                {"for_ms", to_ms(each.last - each.began)}});
    // The pause bounds how often the owner is asked, and its target saw
    // nothing.
    const bool is_free = !last.reached_target && last.pause > duration::zero();
    if (is_free || m_targets.take_retry(service))
        return true;
    m_board.metrics
        .get("tillerhall_retries_denied_total", "service=\"" + service + "\"")
        .add();
    if (m_denied_retries.refused(service, 1, now))
        m_board.decisions.note("retries_denied", service,
                               "the retry budget is empty",
                               {{"last_try", last.detail}});
    return false;
}

bool entry_proxy::may_retry(const inbound_call& call,
                            const call_context& context,
                            const row& limits,
                            const relay_result& result)
{
    if (steady_clock::now() >= context.deadline || !call.can_retry())
        return false;
    if (result.end == relay_end::not_run)
        return true;
    const bool repeatable = context.repeatable || limits.repeatable != 0;
    return repeatable && result.end == relay_end::unknown;
}

relay_result entry_proxy::attempt(inbound_call& call,
                                  const call_context& context,
                                  const chosen_target& chosen)
{
    const auto begin = steady_clock::now();
    const auto deadline =
        std::min(context.deadline,
                 context.start + milliseconds(chosen.limits.timeout_ms));
    relay_result expired;
    expired.end = relay_end::not_run;
    expired.detail = "the time for the call was over before it was passed on";
    if (begin >= deadline)
        return expired;
    m_targets.started(chosen.owner->rpc);
    auto result = chosen.owner->rpc == m_config.advertise_rpc
                      ? m_local.run(call, context, false)
                      : send_to_peer(call, context, chosen, deadline);
    const auto now = steady_clock::now();
    m_targets.ended(chosen.owner->rpc,
                    {.outcome = verdict_of(result),
                     .took = now - begin,
                     .report = {result.load},
                     .pause = result.pause},
                    now);
    return result;
}

relay_result entry_proxy::send_to_peer(inbound_call& call,
                                       const call_context& context,
                                       const chosen_target& chosen,
                                       time_point deadline)
{
    const auto now = steady_clock::now();
    const auto& peer = chosen.owner->peer;
    auto stream =
        m_pool.take(peer, std::min<duration>(connect_timeout, deadline - now));
    if (!stream)
    {
        m_on_unreachable(chosen.owner->rpc);
        relay_result refused;
        refused.end = relay_end::not_run;
        refused.detail = stream.reason().detail();
        return refused;
    }
    relay_plan plan;
    plan.upstream = upstream_kind::peer;
    plan.head = forwarded_head(call.head(), context, deadline, now);
    plan.head.set(field_name::caller, context.caller);
    plan.deadline = deadline;
    plan.request_id = context.request_id;
    plan.store_answer = !context.claim_key.empty();
    auto result = relay_call(call, **stream, plan);
    if (result.reusable)
        m_pool.give_back(peer, std::move(*stream));
    m_pool.trim(max_peers);
    return result;
}

void entry_proxy::record_call(const call_context& context,
                              const relay_result& result)
{
    const auto service = "service=\"" + context.service + "\"";
    if (result.status == 404 && result.end == relay_end::not_run)
        return m_board.metrics.get("tillerhall_unknown_service_total").add();
    const std::string end(name_of(result.end));
    m_board.metrics
        .get("tillerhall_calls_total", service + ",outcome=\"" + end + "\"")
        .add();
    const double took = milliseconds_since(context.start);
    if (result.end == relay_end::answered)
        m_board.metrics.histogram("tillerhall_call_ms", service).record(took);
    const auto version = m_board.routes.get()->version();
    const auto place =
        context.attempts.empty() ? "-" : context.attempts.back().place;
    if (result.end != relay_end::caller_gone)
        m_board.burn.record({context.service, place},
                            burn_cause(context, result, took), took, version,
                            wall_clock_minute());
    m_board.calls.note({context.request_id, context.service, end,
                        wall_clock_us(), version, took, context.attempts});
}

std::string entry_proxy::burn_cause(const call_context& context,
                                    const relay_result& result,
                                    double took_ms) const
{
    constexpr unsigned server_errors = 500;
    const auto found = m_config.objectives.find(context.service);
    const auto slo =
        found == m_config.objectives.end() ? objective{} : found->second;
    if (result.end != relay_end::answered)
        return result.detail.empty() ? std::string(name_of(result.end))
                                     : result.detail;
    if (result.status >= server_errors)
        return "status " + std::to_string(result.status);
    return took_ms > slo.within_ms ? "slower than the objective" : "";
}

} // namespace tillerhall
