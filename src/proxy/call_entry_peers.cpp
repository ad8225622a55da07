/** @file The part of the entry that sends calls to owners on other hosts. */
#include "tillerhall/proxy/call_entry.hpp"

#include <boost/beast/http.hpp>

namespace tillerhall
{
namespace
{

// Three round trips between failure domains, 1.4 ms one way being usual, and a
// queue of new connections; a peer that takes longer counts as unreachable.
constexpr milliseconds connect_timeout(300);
// Each of hundreds of owners is queried rarely: connections kept for longer
// would be as many as there are hosts, at both ends.
constexpr std::chrono::seconds idle_kept(10);
// Three bodies of 60 KB on a link of 10 Mbit/s: an owner that takes longer to
// answer has a full link.
constexpr milliseconds load_query_timeout(150);
// Reserved for the transfer of an owner's answer before the deadline.
constexpr milliseconds response_margin(10);

} // namespace

std::optional<load_report> call_entry::query_load(const member& owner)
{
    auto answer = query_owner(owner, load_query(m_names.request_id));
    return answer ? std::optional(std::move(answer->report)) : std::nullopt;
}

std::optional<duration> call_entry::claim_transfer_slot(const member& owner,
                                                        std::uint64_t bytes)
{
    const auto answer =
        query_owner(owner, transfer_slot_claim(m_names.request_id, bytes));
    return answer ? std::optional(answer->retry_after) : std::nullopt;
}

std::optional<owner_answer> call_entry::query_owner(const member& owner,
                                                    whole_request query)
{
    m_board.metrics.get("tillerhall_load_questions_total").add();
    const auto deadline = steady_clock::now() + load_query_timeout;
    auto stream = m_pool.take(owner.peer, load_query_timeout);
    if (!stream)
        return std::nullopt;
    cancel_scope scope;
    auto result = exchange(**stream, query,
                           {.deadline = deadline,
                            .id_field = m_names.request_id,
                            .id = load_query_id,
                            .memory = m_memory},
                           scope);
    if (result.end != exchange_end::answered)
        return std::nullopt;
    if (result.reusable)
        m_pool.give_back(owner.peer, std::move(*stream), idle_kept);
    auto answer = from_hop_response(std::move(*result.response));
    return answer.report.load ? std::optional(std::move(answer)) : std::nullopt;
}

owner_answer call_entry::send_to_peer(received_request& request,
                                      const call_state& state,
                                      const member& owner,
                                      cancel_scope& scope)
{
    owner_answer failed;
    failed.end = call_outcome::not_run(not_run_proof::not_sent);
    failed.retry_after = retry_without_target;
    auto now = steady_clock::now();
    const auto left = state.call.deadline - now;
    auto stream =
        m_pool.take(owner.peer, std::min<duration>(connect_timeout, left));
    if (!stream)
    {
        m_report_unreachable(owner.rpc);
        failed.reason = stream.reason().detail();
        return failed;
    }
    now = steady_clock::now();
    auto hop_call = state.call;
    hop_call.deadline -= response_margin;
    if (now + min_time_left >= hop_call.deadline)
    {
        failed.reason = "no time was left to send it";
        return failed;
    }
    auto sent = view_of(request.message);
    sent.version(11);
    sent.keep_alive(true);
    sent.content_length(sent.body().size());
    write_hop_fields(sent, hop_call, now);
    auto result = exchange(**stream, sent,
                           {.deadline = state.call.deadline,
                            .id_field = m_names.request_id,
                            .id = state.call.request_id,
                            .goaway_field = hop_field::goaway,
                            .memory = m_memory},
                           scope);
    if (result.reusable)
        m_pool.give_back(owner.peer, std::move(*stream), idle_kept);
    if (result.end == exchange_end::answered)
    {
        auto answer = from_hop_response(std::move(*result.response));
        answer.memory = std::move(result.memory);
        return answer;
    }
    failed.reached = is_handed_over(result.end);
    if (result.end == exchange_end::unknown || !failed.reached)
        m_report_unreachable(owner.rpc);
    failed.reason = result.detail;
    failed.end = outcome_of(result.end);
    return failed;
}

} // namespace tillerhall
