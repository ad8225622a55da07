#include "tillerhall/proxy/call_entry.hpp"
#include "tillerhall/distribution/confirmed_copy.hpp"
#include "tillerhall/http/call_session.hpp"
#include "tillerhall/observe/log.hpp"
#include "tillerhall/proxy/call_fingerprint.hpp"
#include "tillerhall/proxy/entry_capacity.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <charconv>
#include <utility>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::size_t max_idle_per_peer = 32;
// Allows four TCP retransmissions (200 ms at first, doubled from the third on),
// so that a path with some packet loss stays connected.
constexpr milliseconds peer_user_timeout(800);
// Limit of owners tried that refuse before their target sees the call.
constexpr std::size_t max_owners_tried = 4;
// One owner may be wrong about the others, so one more is tried. Further tries
// would let most calls past owners that shed load.
constexpr unsigned max_common_refusals = 2;
constexpr std::int64_t max_time_left_ms = 3'600'000;
// Weight of the newest run in the moving average of failed runs.
constexpr double failure_share_weight = 0.05;
// Above this share of failed runs the fault is taken to affect all targets. One
// target of six that fails every second run stays below it.
constexpr double fleetwide_failure_share = 0.2;

// Reason for refusing a call whose deadline has passed on arrival.
constexpr const char* read_too_late = "its time was over before it was read";

std::optional<milliseconds> time_left_of(std::string_view text)
{
    std::int64_t left = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, left);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
        left < 0)
        return std::nullopt;
    return milliseconds(std::min(left, max_time_left_ms));
}

/** @return whether the target answered with a server error. */
bool is_failure(const owner_answer& answer)
{
    return answer.end == call_end::answered &&
           is_server_error(answer.response->result_int());
}

bool is_refused_by(admission_decision decision, const owner_answer& answer)
{
    return answer.end == call_end::not_run &&
           answer.reason == name_of(decision);
}

/** @return whether the call did not run because the service has too few free
 * slots. */
bool is_capacity_lacking(const owner_answer& answer)
{
    constexpr std::array<std::string_view, 5> other_reasons{
        crashes_its_targets, no_body_memory, read_too_late, "too_late_to_send",
        "no time was left to send it"};
    if (answer.end != call_end::not_run || answer.refused_with_room ||
        std::ranges::find(other_reasons, answer.reason) != other_reasons.end())
        return false;
    // With free slots it came late because of its run, not of this service.
    return !is_refused_by(admission_decision::deadline_too_near, answer) ||
           answer.report.load.value_or(1) >= 1;
}

target_call_outcome verdict_of(const owner_answer& answer)
{
    if (is_refused_by(admission_decision::rate_exceeded, answer))
        return target_call_outcome::rate_limited;
    if (answer.refused_with_room)
        return target_call_outcome::refused_with_room;
    if (answer.end == call_end::not_run)
        return answer.reached || answer.report.load
                   ? target_call_outcome::refused
                   : target_call_outcome::failed;
    if (answer.end == call_end::cancelled)
        return target_call_outcome::unknown;
    const bool good = answer.end == call_end::answered && !is_failure(answer);
    return good ? target_call_outcome::good : target_call_outcome::failed;
}

} // namespace

call_entry::call_entry(const entry_settings& config,
                       const wire_names& names,
                       blackboard& board,
                       target_board& targets,
                       target_owner& local,
                       quota_gate& quotas,
                       worker& on,
                       unreachable report)
    : m_config(config)
    , m_names(names)
    , m_board(board)
    , m_targets(targets)
    , m_local(local)
    , m_quotas(quotas)
    , m_answers(names)
    , m_choice(
          config,
          targets,
          local,
          on,
          [this](const member& owner) { return query_load(owner); },
          [this](const member& owner, std::uint64_t bytes)
          { return claim_transfer_slot(owner, bytes); })
    , m_report_unreachable(std::move(report))
    , m_worker(on)
    , m_log(board, config.own, on)
    , m_pool(on.io(), max_idle_per_peer, config.own.ip, peer_user_timeout)
    , m_shares(share_start(config.own))
{
}

whole_response call_entry::refuse(const request_fault& fault) const
{
    m_board.metrics
        .get("tillerhall_bad_request_total",
             "status=\"" + std::to_string(fault.status) + "\"")
        .add();
    return m_answers.refused(fault);
}

duration call_entry::time_left(const request_head& head) const
{
    const auto routes = m_board.call_map.get();
    const auto* route = routes->find(head[http::field::host], head.target());
    const auto left = time_left_of(head[m_names.time_left])
                          .value_or(milliseconds(max_time_left_ms));
    return route == nullptr ? left : std::min(route->timeout, left);
}

whole_response call_entry::refuse_body(const request_head& head,
                                       duration retry_after)
{
    m_log.call_refused(no_body_memory);
    owner_answer refused;
    refused.end = call_outcome::not_run(not_run_proof::not_sent);
    refused.reason = no_body_memory;
    refused.retry_after = std::max<duration>(retry_after, retry_without_target);
    return m_answers.response_to(std::string(head[m_names.request_id]), false,
                                 std::move(refused));
}

whole_response call_entry::answer(received_request& request,
                                  cancel_scope& scope)
{
    auto& message = request.message;
    call_state state;
    state.begin = m_log.call_started(request.received);
    state.call.request_id = std::string(message[m_names.request_id]);
    const auto& id = state.call.request_id;
    if (id.empty())
        return refuse({400, "the field " + m_names.request_id + " is missing"});
    const auto routes = m_board.call_map.get();
    if (routes->version() == 0)
        return m_answers.unavailable(id, "this node has no routes yet");
    if (m_board.phase == node_phase::finishing)
        return m_answers.unavailable(id, "this node ends");
    state.route = routes->find(message[http::field::host], message.target());
    if (state.route == nullptr)
        return refuse_unrouted(id, message, *routes);
    state.routes_version = routes->version();
    const auto& route = *state.route;
    const auto left = time_left_of(message[m_names.time_left]);
    const auto caller = caller_of(message, *routes, route);
    if (!caller.may_call())
        return refuse_caller(id, caller.status);
    if (const auto retry_after = over_quota(caller))
        return m_answers.over_quota(id, *retry_after);
    if (routes->accounts() != nullptr)
        set_account(state.call, message, caller);
    set_terms(state.call, route, request.received, left);
    const bool is_limited = limit_deadline(state.call, m_board.calls_end);
    classify(state.call, left);
    state.has_parent = m_local.runs().call_made(id, state.call.service);
    request.answer_due =
        request.received + state.call.objective - state.call.elapsed;
    remove_hop_fields(message);
    state.scope = &scope;
    m_active_calls.push_back(state);
    ++m_board.calls_in_flight;
    auto answer = forward(request, state, scope);
    --m_board.calls_in_flight;
    if (m_calls_cancelled && answer.end == call_end::cancelled)
        answer.reason = ended_with_node;
    if (is_limited)
        ended_early(answer);
    record_outcome(state, message, answer);
    if (caller.account != nullptr && state.targets_reached == 0)
        m_quotas.give_back(*caller.account);
    request.answer_memory = std::move(answer.memory);
    return m_answers.response_to(id, state.may_have_run, std::move(answer));
}

caller_identity call_entry::caller_of(const whole_request& request,
                                      const call_routes& routes,
                                      const call_route& route)
{
    const std::string_view id = request[m_names.request_id];
    const caller_evidence evidence{m_local.runs().parent_of(id).has_value(),
                                   id.find('.') != std::string_view::npos};
    return identify_caller(request, routes, route, evidence);
}

bool call_entry::may_lack_version() const
{
    return confirmed_copy::may_be_stale(m_board.routes_confirmed,
                                        steady_clock::now());
}

whole_response call_entry::refuse_unrouted(const std::string& id,
                                           const whole_request& request,
                                           const call_routes& routes)
{
    m_log.no_route(id, request[http::field::host], request.target(), routes);
    return may_lack_version()
               ? m_answers.unavailable(id, "a newer version may have the route")
               : m_answers.not_found(id);
}

whole_response call_entry::refuse_caller(const std::string& id,
                                         caller_status status) const
{
    m_board.metrics.get("tillerhall_caller_refused_total").add();
    return status == caller_status::unauthenticated
               ? m_answers.unauthorized(id)
               : m_answers.unavailable(id, "whose call it is can't be told");
}

std::optional<duration> call_entry::over_quota(const caller_identity& caller)
{
    if (caller.account == nullptr)
        return std::nullopt;
    const auto retry_after =
        m_quotas.admit(*caller.account, m_board.targets.get()->live_members(),
                       steady_clock::now());
    if (retry_after)
        m_board.metrics.get("tillerhall_over_quota_total").add();
    return retry_after;
}

void call_entry::set_account(owner_call& call,
                             whole_request& request,
                             const caller_identity& caller)
{
    request.erase(http::field::authorization);
    request.erase(m_names.account);
    call.account = caller.account == nullptr ? "" : caller.account->name;
    call.account_rank = caller.account == nullptr ? 0 : caller.account->rank;
    call.account_weight =
        caller.account == nullptr ? 1 : caller.account->weight;
}

void call_entry::end_calls()
{
    m_calls_cancelled = true;
    for (auto& each : m_active_calls)
        each.scope->cancel();
}

void call_entry::set_terms(owner_call& call,
                           const call_route& route,
                           time_point received,
                           const std::optional<milliseconds>& left)
{
    call.service = m_shares.next(route);
    call.origin = m_config.service;
    call.kind = route.kind;
    call.rank = route.rank;
    call.deadline =
        received +
        std::min<duration>(route.timeout,
                           left.value_or(milliseconds(max_time_left_ms)));
    call.objective = route.objective > milliseconds::zero() ? route.objective
                                                            : route.timeout;
}

void call_entry::classify(owner_call& call,
                          const std::optional<milliseconds>& left)
{
    const auto objective =
        std::chrono::duration_cast<milliseconds>(call.objective);
    m_objectives.count_call(objective);
    auto& runs = m_local.runs();
    // Without parent ids a short objective identifies the calls of targets.
    call.nested =
        runs.parent_of(call.request_id).has_value() ||
        (!runs.ids_name_parents() && m_objectives.is_short(objective));
    if (const auto parent = runs.parent_terms(call.request_id))
    {
        call.parent_rank = parent->queue_rank;
        call.parent_left = parent->due - steady_clock::now();
    }
    if (call.nested || !left)
        return;
    const auto elapsed =
        m_deadline_budgets.elapsed(call.work(), *left, steady_clock::now());
    if (elapsed > call.min_elapsed())
        call.elapsed = elapsed;
}

owner_answer call_entry::forward(received_request& request,
                                 call_state& state,
                                 cancel_scope& scope)
{
    auto& budget = m_services[state.call.service].budget;
    budget.call(m_config.budget, m_board.targets.get()->live_members(),
                state.call.nested);
    if (steady_clock::now() + min_time_left >= state.call.deadline)
    {
        owner_answer late;
        late.end = call_outcome::not_run(not_run_proof::not_sent);
        late.reason = read_too_late;
        late.retry_after = retry_without_target;
        return late;
    }
    if (m_capacity != nullptr)
        m_capacity->demand.count_call(state.call.service, state.call.work());
    if (const auto quarantine = quarantine_status(request, state))
        return forward_quarantined(request, state, *quarantine, scope);
    auto answer = try_owners(request, state, scope);
    if (state.is_retry_paid)
        budget.give_back();
    return answer;
}

owner_answer call_entry::try_owners(received_request& request,
                                    call_state& state,
                                    cancel_scope& scope)
{
    std::optional<owner_answer> failure; // answer of a target that is retried
    owner_answer last;
    last.end = call_outcome::not_run(not_run_proof::not_sent);
    last.reason = "no target of this service takes work";
    last.retry_after = retry_without_target;
    while (!scope.is_cancelled_now())
    {
        const auto view = m_board.targets.get();
        const auto chosen = choose_owner(request, state, *view);
        const auto& owner = chosen.owner;
        if (chosen.links_full_for > duration::zero())
        {
            last.reason = "links_full";
            last.retry_after = chosen.links_full_for;
        }
        if (chosen.owners_full_for > duration::zero())
        {
            last.reason = "owners_full";
            m_log.call_refused(last.reason);
            last.retry_after = chosen.owners_full_for;
        }
        if (chosen.domain_full_for > duration::zero() &&
            last.end == call_end::not_run)
        {
            last.reason = "domain_full";
            m_log.call_refused(last.reason);
            if (state.tried.empty())
                last.retry_after = chosen.domain_full_for;
        }
        if (!owner)
            return std::move(failure ? *failure : last);
        last = try_and_repeat(request, state, *owner, scope);
        if (last.end == call_end::not_run)
            last.retry_after = retry_after_of(state, last);
        const bool answered = last.end == call_end::answered;
        if (!may_retry(request, state, last, scope))
            return std::move(failure && !answered ? *failure : last);
        if (answered)
            failure = std::exchange(last, {});
        state.tried.push_back(owner->rpc);
    }
    last.end = call_end::cancelled;
    last.reason = "the client left";
    return last;
}

duration call_entry::retry_after_of(call_state& state,
                                    const owner_answer& refusal)
{
    auto& shortest = state.retry_after;
    if (refusal.return_handled && !state.call.return_handled)
        shortest = refusal.retry_after;
    else if (!state.call.return_handled)
        shortest = std::min(shortest, refusal.retry_after);
    state.call.return_handled |= refusal.return_handled;
    return shortest;
}

member_ptr call_entry::choose_canary(const received_request& request,
                                     const call_state& state,
                                     const service_targets& view)
{
    const auto& canaries = view.canaries_of(state.call.service);
    if (canaries.members.empty() ||
        !m_services[state.call.service].permits.has_permit())
        return nullptr;
    // A full target would refuse it, while one of the stable release may not.
    auto with_room = canaries.members;
    std::erase_if(with_room,
                  [now = steady_clock::now(), this](const member_ptr& each)
                  { return m_targets.seems_full(each->rpc, now); });
    return m_choice
        .choose(with_room, state.tried, request.message.body().size(),
                state.call.work())
        .owner;
}

void call_entry::update_exposure_permits(const call_state& state, bool reached)
{
    auto& permits = m_services[state.call.service].permits;
    if (state.is_canary && !reached)
        return permits.give_back();
    const auto view = m_board.targets.get();
    const auto& canaries = view->canaries_of(state.call.service);
    if (reached && canaries.share > 0)
        permits.reached(canaries.share, m_random.unit());
}

chosen_owner call_entry::choose_owner(const received_request& request,
                                      call_state& state,
                                      const service_targets& view)
{
    state.is_canary = false;
    if (auto owner = choose_canary(request, state, view))
    {
        m_services[state.call.service].permits.take();
        state.is_canary = true;
        return {std::move(owner)};
    }
    const auto now = steady_clock::now();
    auto avoid = m_refusals.refusing(state.refusal_key(), now);
    const bool any_refuses = !avoid.empty();
    auto chosen = m_choice.choose_by_plan(
        state.call.service, view.of(state.call.service), avoid, state.tried,
        request.message.body().size(), state.call.work());
    avoid.insert(avoid.end(), state.tried.begin(), state.tried.end());
    const auto among = [&](const std::vector<member_ptr>& owners)
    {
        return m_choice.choose(owners, avoid, request.message.body().size(),
                               state.call.work());
    };
    // Targets still serve during a planned stop of their node: use one rather
    // than refuse the call. Otherwise a service is refused for seconds while
    // the node of its last target stops.
    if (!chosen.owner && chosen.links_full_for == duration::zero())
    {
        auto leaving = view.leaving(state.call.service);
        const bool is_planned = chosen.domain_full_for > duration::zero();
        if (is_planned)
            std::erase_if(leaving, [&](const member_ptr& each)
                          { return each->place != m_config.place; });
        if (auto found = among(leaving); found.owner || !is_planned)
            chosen = std::move(found);
    }
    if (!chosen.owner && any_refuses && state.tried.empty())
    {
        chosen.owners_full_for =
            m_refusals.retry_after(state.refusal_key(), now);
        chosen.domain_full_for = {};
    }
    return chosen;
}

std::optional<call_quarantine>
call_entry::quarantine_status(const received_request& request,
                              const call_state& state) const
{
    return quarantine_of(*m_board.poison_view.get(), request.message,
                         state.crashed_at);
}

owner_answer call_entry::forward_quarantined(received_request& request,
                                             call_state& state,
                                             const call_quarantine& quarantine,
                                             cancel_scope& scope)
{
    owner_answer refused;
    refused.end = call_outcome::not_run(not_run_proof::not_sent);
    refused.reason = crashes_its_targets;
    refused.retry_after = quarantine.left;
    const auto view = m_board.targets.get();
    const bool may_probe =
        quarantine.may_be_probed(m_recent_good_calls.contain(request.message));
    const auto owner = may_probe
                           ? probe_owner(view->of(state.call.service),
                                         fingerprint_of(request.message).text())
                           : nullptr;
    if (owner)
    {
        state.call.is_probe = true;
        return try_owner(request, state, *owner, scope);
    }
    m_log.call_refused(refused.reason);
    return refused;
}

bool call_entry::take_retry_budget(call_state& state, const owner_answer& last)
{
    // Retrying a call that has reached no target is not counted.
    if (!last.reached)
        return true;
    state.is_retry_paid = m_services[state.call.service].budget.take(
        state.call.nested, last.end != call_end::not_run);
    return state.is_retry_paid;
}

bool call_entry::may_send_again(call_state& state,
                                const owner_answer& last,
                                const cancel_scope& scope)
{
    // A repeat at a canary target would need another exposure permit.
    if (!last.refused_with_room || state.is_canary || scope.is_cancelled() ||
        steady_clock::now() + min_time_left >= state.call.deadline)
        return false;
    // While another target can be tried, one repeat at each is enough: a target
    // that refuses twice is likely to refuse again.
    const bool others_left =
        state.targets_reached < state.route->max_targets &&
        state.tried.size() + 1 < max_owners_tried &&
        m_board.targets.get()->of(state.call.service).size() >
            state.tried.size() + 1;
    if ((state.call.is_repeat && others_left) ||
        !take_retry_budget(state, last))
        return false;
    m_board.metrics
        .get("tillerhall_repeats_total",
             "service=\"" + state.call.service + "\"")
        .add();
    m_log.call_sent_again(state.call, last);
    return true;
}

owner_answer call_entry::try_and_repeat(received_request& request,
                                        call_state& state,
                                        const member& owner,
                                        cancel_scope& scope)
{
    auto answer = try_owner(request, state, owner, scope);
    while (may_send_again(state, answer, scope))
    {
        // Repeats at one target count as one target.
        const auto targets = state.targets_reached;
        state.call.is_repeat = true;
        answer = try_owner(request, state, owner, scope);
        state.targets_reached = targets;
    }
    state.call.is_repeat = false;
    return answer;
}

bool call_entry::may_retry(const received_request& request,
                           call_state& state,
                           const owner_answer& last,
                           const cancel_scope& scope)
{
    if (scope.is_cancelled() ||
        steady_clock::now() + min_time_left >= state.call.deadline)
        return false;
    if (state.targets_reached >= state.route->max_targets ||
        state.tried.size() + 1 >= max_owners_tried)
        return false;
    if (!is_worth_retrying(request, state, last) ||
        !take_retry_budget(state, last))
        return false;
    m_log.call_sent_again(state.call, last);
    return true;
}

bool call_entry::may_others_admit(const call_state& state)
{
    return state.common_refusals < max_common_refusals;
}

bool call_entry::is_worth_retrying(const received_request& request,
                                   const call_state& state,
                                   const owner_answer& last)
{
    if (last.end == call_end::not_run)
        return may_others_admit(state);
    if (!may_repeat(state.call.kind))
        return false;
    // An unknown outcome may be a crash of the target caused by the call.
    if (last.end == call_end::unknown)
        return !quarantine_status(request, state);
    // If runs fail at all targets, a retry would fail too.
    return is_failure(last) && m_services[state.call.service].failure_share <
                                   fleetwide_failure_share;
}

owner_answer call_entry::try_owner(received_request& request,
                                   call_state& state,
                                   const member& owner,
                                   cancel_scope& scope)
{
    const auto begin = steady_clock::now();
    m_targets.started(owner.rpc);
    m_refusals.asked(owner.rpc, state.refusal_key(), begin);
    state.call.constraints = m_constraints.of(owner.rpc);
    const bool crosses = owner.place != m_config.place;
    const bool has_equal_claim =
        m_capacity != nullptr &&
        m_capacity->plan.is_short(state.call.service, begin);
    state.call.from_other_domain = crosses && !has_equal_claim;
    const entry_capacity::borrowed_call borrowed(
        crosses && m_capacity != nullptr
            ? &m_capacity->borrowed[state.call.service]
            : nullptr);
    auto answer = owner.rpc == m_config.own
                      ? m_local.run(request.message, state.call, scope)
                      : send_to_peer(request, state, owner, scope);
    const auto now = steady_clock::now();
    m_targets.ended(owner.rpc,
                    {verdict_of(answer), now - begin, answer.report,
                     state.call.work(),
                     answer.response ? answer.response->body().size() : 0},
                    now);
    m_constraints.answered(owner.rpc, answer);
    if (crosses)
        record_crossing(request, state, owner, answer);
    else if (m_capacity != nullptr && answer.report.run_ms > 0)
        m_capacity->demand.run_reported(state.call.service, state.call.work(),
                                        answer.report.run_ms);
    record_refusal(state, owner, answer, now);
    update_exposure_permits(state, answer.reached);
    if (answer.reached)
    {
        ++state.targets_reached;
        ++state.sends;
        state.is_retry_paid = false;
    }
    if (answer.sent)
        state.sent = answer.sent;
    if (answer.target_crashed)
        state.crashed_at.push_back(owner.rpc);
    if (answer.others_would_refuse)
        ++state.common_refusals;
    if (answer.end == call_end::answered)
    {
        auto& failure_share = m_services[state.call.service].failure_share;
        failure_share += ((is_failure(answer) ? 1 : 0) - failure_share) *
                         failure_share_weight;
        if (!is_failure(answer))
            m_recent_good_calls.ran(request.message);
    }
    state.may_have_run |= answer.end != call_end::not_run;
    return answer;
}

void call_entry::record_crossing(const received_request& request,
                                 const call_state& state,
                                 const member& owner,
                                 const owner_answer& answer)
{
    const auto label = "end=\"" + std::string(name_of(answer.end)) + "\"";
    const auto bytes = request.message.body().size() +
                       (answer.response ? answer.response->body().size() : 0);
    m_board.metrics.get("tillerhall_other_domain_calls_total", label).add();
    m_board.metrics.get("tillerhall_other_domain_bytes_total", label)
        .add(static_cast<std::int64_t>(bytes));
    if (m_capacity != nullptr)
        m_capacity->plan.crossed(state.call.service, owner.place,
                                 answer.end == call_end::not_run);
}

void call_entry::record_refusal(const call_state& state,
                                const member& owner,
                                const owner_answer& answer,
                                time_point now)
{
    if (answer.reached)
        return m_refusals.admitted(owner.rpc, state.refusal_key());
    const bool is_saturated =
        answer.report.is_saturated || m_worker.is_saturated();
    const bool is_paced =
        is_refused_by(admission_decision::rate_exceeded, answer);
    if (!is_paced && !(is_saturated &&
                       is_refused_by(admission_decision::queue_full, answer)))
        return;
    // The Retry-After of a full owner is that of one call's return; the pause
    // for all calls is at most the time of a run, in which slots become free.
    const std::chrono::duration<double, std::milli> run(answer.report.run_ms);
    const auto pause =
        is_paced || answer.report.run_ms <= 0
            ? answer.retry_after
            : std::min(answer.retry_after,
                       std::chrono::duration_cast<duration>(run));
    m_refusals.refused(owner.rpc, state.refusal_key(), pause, m_random.unit(),
                       now);
}

void call_entry::record_outcome(const call_state& state,
                                const whole_request& request,
                                const owner_answer& answer)
{
    const bool lacked_capacity = is_capacity_lacking(answer);
    if (answer.end != call_end::answered && answer.end != call_end::cancelled)
        m_local.call_failed(lacked_capacity && !answer.reached);
    if (state.has_parent)
        m_local.nested_call_ended(
            state.call.service,
            answer.end == call_end::answered && !is_failure(answer)
                ? nested_end::done
            : lacked_capacity ? nested_end::lacked_capacity
                              : nested_end::other,
            answer.report.load);
    if (answer.end != call_end::answered || is_failure(answer))
        m_local.runs().call_failed(state.call.request_id);
    const bool is_unknown = answer.end == call_end::unknown;
    m_log.call_finished(
        state.call, state.begin,
        {state.targets_reached, state.tried.size(), state.crashed_at.size(),
         state.sends, state.sent,
         is_unknown ? fingerprint_of(request).text() : std::string(),
         state.routes_version},
        answer);
}

} // namespace tillerhall
