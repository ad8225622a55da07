#include "tillerhall/node/owner_proxy.hpp"
#include "tillerhall/proxy/owner_answer.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cmath>

namespace tillerhall
{
namespace
{

constexpr std::chrono::minutes idle_timeout(2);
constexpr milliseconds connect_timeout(1000);
// Shorter than the time for which targets keep idle connections.
constexpr std::chrono::seconds probe_reuse_limit(3);
constexpr unsigned first_server_error = 500;

/** Returns how many idle connections a worker may keep without exceeding the
 * target's connection limit while all of its slots are in use. */
std::size_t max_idle(const settings& config)
{
    const auto spare = config.target_connections - config.target_slots;
    const auto share = std::max<std::int64_t>(1, spare / config.workers);
    return static_cast<std::size_t>(std::min(share, config.target_slots));
}

std::string seconds_text(duration wait)
{
    const double seconds = std::chrono::duration<double>(wait).count();
    return std::to_string(std::max<std::int64_t>(
        1, static_cast<std::int64_t>(std::ceil(seconds))));
}

} // namespace

owner_proxy::owner_proxy(const settings& config,
                         blackboard& board,
                         call_admission& admission_gate,
                         crash_registry& crashes,
                         target_rate& rate,
                         worker& own_worker)
    : m_config(config)
    , m_board(board)
    , m_admission(admission_gate)
    , m_crash_registry(crashes)
    , m_rate(rate)
    , m_worker(own_worker)
    , m_pool(own_worker.io(), max_idle(config), config.rpc.ip)
{
}

void owner_proxy::serve(tcp_stream& stream)
{
    boost::beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive)
    {
        inbound_call call(stream, buffer);
        stream.expires_after(idle_timeout);
        if (call.read_head() != head_status::ok)
            return;
        stream.expires_never();
        const auto context =
            read_context(call.head(), m_worker.earliest_arrival());
        // A body announced by Expect: 100-continue is read after admission.
        if (!call.expects_continue() && !call.read_prefix())
            return;
        const auto result = run(call, context, true);
        if (result.end == relay_end::caller_gone ||
            result.end == relay_end::cut)
            return;
        if (result.end != relay_end::answered)
            send_problem(call, context.request_id, problem_of(result),
                         m_admission.load());
        keep_alive = call.can_keep_alive();
    }
}

relay_result owner_proxy::refuse(std::string reason) const
{
    m_board.metrics.get("tillerhall_refused_total", "reason=\"" + reason + "\"")
        .add();
    relay_result refused;
    refused.end = relay_end::not_run;
    refused.detail = std::move(reason);
    refused.retry_after = seconds_text(m_admission.retry_after());
    refused.load = m_admission.load();
    refused.reached_target = false;
    return refused;
}

relay_result owner_proxy::refuse_admission(admission_decision decision) const
{
    auto refused = refuse(std::string(name_of(decision)));
    if (decision == admission_decision::rate_exceeded &&
        m_admission.paced_per_s() > 0)
    {
        refused.pause = m_admission.book_return();
        refused.retry_after = seconds_text(refused.pause);
    }
    return refused;
}

relay_result
owner_proxy::refuse_quarantined(const call_quarantine& quarantine) const
{
    auto refused = refuse(crashes_its_targets);
    refused.retry_after = seconds_text(quarantine.left);
    return refused;
}

relay_result owner_proxy::run(inbound_call& call,
                              const call_context& context,
                              bool from_peer)
{
    if (!m_board.may_take_calls())
        return refuse("node_not_taking_calls");
    if (context.service != m_config.service)
        return refuse("not_the_owner_of_this_service");
    const auto routes = m_board.routes.get();
    const auto* limits =
        routes->table().table().find({m_config.service, m_config.domain});
    if (limits == nullptr)
        return refuse("no_row_for_this_place");
    const auto deadline = std::min(
        context.deadline, context.start + milliseconds(limits->timeout_ms));
    const auto decision = m_admission.acquire(
        m_worker.io(), {.caller = context.caller, .deadline = deadline});
    if (decision != admission_decision::run)
        return refuse_admission(decision);
    ++m_board.calls_in_flight;
    const auto begin = steady_clock::now();
    auto result = run_admitted(call, context, deadline, from_peer);
    m_admission.release(steady_clock::now() - begin);
    --m_board.calls_in_flight;
    return result;
}

relay_result owner_proxy::run_admitted(inbound_call& call,
                                       const call_context& context,
                                       time_point deadline,
                                       bool from_peer)
{
    relay_result caller_gone_result;
    caller_gone_result.end = relay_end::caller_gone;
    const auto now = steady_clock::now();
    auto stream = m_pool.take(
        m_config.target, std::min<duration>(connect_timeout, deadline - now));
    if (!stream)
        return refuse("target_not_reached");
    if (from_peer && call.expects_continue() && !call.read_prefix())
        return caller_gone_result;
    if (const auto quarantine =
            active_quarantine(*m_board.poison_view.get(), call))
        return refuse_quarantined(*quarantine);
    relay_plan plan;
    plan.upstream = upstream_kind::target;
    plan.head = forwarded_head(call.head(), context, deadline, now);
    plan.deadline = deadline;
    plan.not_run_header = m_config.target_not_run_header;
    plan.request_id = context.request_id;
    plan.store_answer = !context.claim_key.empty();
    if (from_peer)
        plan.load = m_admission.load();
    plan.on_head = [this, sent = steady_clock::now()](const response_head& head)
    { m_rate.take(head, sent); };
    return relay(call, plan, std::move(*stream));
}

relay_result owner_proxy::relay(inbound_call& call,
                                const relay_plan& plan,
                                pooled_stream stream)
{
    const crash_registry::run running(m_crash_registry, call);
    auto result = relay_call(call, *stream, plan);
    if (result.reusable)
        m_pool.give_back(m_config.target, std::move(stream));
    if (result.end == relay_end::answered && result.status < first_server_error)
        m_crash_registry.ran_well(call, *m_board.poison_view.get());
    const bool is_lost =
        result.end == relay_end::unknown || result.end == relay_end::cut;
    if (is_lost && has_target_crashed())
        m_crash_registry.target_crashed(m_config.target.text());
    return result;
}

bool owner_proxy::has_target_crashed()
{
    return m_pool.probe(m_config.target, connect_timeout, probe_reuse_limit) ==
           boost::asio::error::connection_refused;
}

} // namespace tillerhall
