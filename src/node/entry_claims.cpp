/** @file The entry proxy's handling of calls with an idempotency key, which
 * run at most once. */
#include "tillerhall/node/entry_proxy.hpp"

#include <algorithm>
#include <array>

namespace tillerhall
{
namespace
{

// Must stay below claim_shard::kept_minutes.
constexpr std::chrono::minutes max_claimed_call(5);

/** The response to a keyed call whose claim was not granted. */
struct claim_problem
{
    claim_outcome claim;
    unsigned status;
    std::string_view title;
    std::string_view remedy;
    std::string_view outcome;
};

constexpr std::array claim_problem_table{
    claim_problem{claim_outcome::other_body, 422,
                  "the key was used for another body",
                  "take a new Idempotency-Key for a new operation",
                  outcome_value::not_run},
    claim_problem{claim_outcome::in_progress, 409,
                  "a call with this key is under way",
                  "repeat with the same key after the time in Retry-After",
                  outcome_value::unknown},
    claim_problem{claim_outcome::already_ran, 409,
                  "the call with this key already ran",
                  "look up its result; the answer is no longer kept",
                  outcome_value::already_ran},
    claim_problem{
        claim_outcome::may_have_run, 409, "the call with this key may have run",
        "check before repeating it under a new key", outcome_value::unknown},
};

call_problem problem_of_claim(claim_outcome claim)
{
    const auto found =
        std::ranges::find(claim_problem_table, claim, &claim_problem::claim);
    call_problem problem;
    problem.status = found->status;
    problem.title = found->title;
    problem.detail = found->title;
    problem.remedy = found->remedy;
    problem.outcome = found->outcome;
    if (claim == claim_outcome::in_progress)
        problem.retry_after = "1";
    return problem;
}

} // namespace

bool entry_proxy::needs_claim(const inbound_call& call,
                              const call_context& context) const
{
    if (context.repeatable ||
        call.head().count(field_name::idempotency_key) == 0)
        return false;
    const auto routes = m_board.routes.get();
    const auto* route = routes->find(context.service);
    return route != nullptr &&
           std::ranges::none_of(route->places, [](const place_route& each)
                                { return each.limits.repeatable != 0; });
}

relay_result entry_proxy::forward_claimed(inbound_call& call,
                                          call_context& context)
{
    relay_result result;
    result.end = relay_end::not_run;
    boost::system::error_code failed;
    const auto remote = call.stream().socket().remote_endpoint(failed);
    context.claim_key =
        claim_key_of(call.head(), failed ? "" : remote.address().to_string());
    if (context.claim_key.empty())
        return run_with_retries(call, context);
    // The claim outlives the deadline, so a node that resumes after a pause
    // doesn't run the call once its key can be claimed again.
    context.deadline =
        std::min(context.deadline, context.start + max_claimed_call);
    const auto body = body_digest(call);
    const auto claim_reply =
        run_on(m_first_worker,
               [&] { return m_claims.claim_key(context.claim_key, body); });
    m_board.metrics
        .get("tillerhall_claim_verdicts_total",
             "verdict=\"" + std::string(name_of(claim_reply.outcome)) + "\"")
        .add();
    if (claim_reply.outcome != claim_outcome::granted)
        return answer_denied_claim(call, context, claim_reply);
    result = run_with_retries(call, context);
    const auto state = result.end == relay_end::answered ? claim_state::done
                       : result.end == relay_end::not_run
                           ? claim_state::released
                           : claim_state::unknown;
    m_first_worker.spawn(
        [this, key = context.claim_key, state, kept = result.kept]
        { m_claims.finish(key, state, kept); });
    return result;
}

relay_result entry_proxy::answer_denied_claim(inbound_call& call,
                                              const call_context& context,
                                              const claim_answer& claim_reply)
{
    relay_result result;
    result.end = relay_end::not_run;
    if (claim_reply.outcome == claim_outcome::store_down)
    {
        result.detail = "the key could not be claimed, so the call was not "
                        "passed on";
        return result;
    }
    result.end = relay_end::answered;
    if (claim_reply.answer)
        send_replay(call, context.request_id, *claim_reply.answer);
    else
        send_problem(call, context.request_id,
                     problem_of_claim(claim_reply.outcome));
    return result;
}

} // namespace tillerhall
