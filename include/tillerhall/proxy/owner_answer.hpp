/** @file Calls from an entry to an owner, the answers, and both as HTTP. */
#pragma once

#include "tillerhall/http/exchange.hpp"
#include "tillerhall/http/whole_message.hpp"
#include "tillerhall/proxy/call_outcome.hpp"
#include "tillerhall/proxy/target_constraints.hpp"
#include "tillerhall/routing/call_route.hpp"
#include "tillerhall/routing/target_board.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace tillerhall
{

/** A call that an entry forwards to the owner of a target. */
struct owner_call
{
    std::string request_id;
    std::string service;
    std::string origin; ///< service of the host where the call began
    call_kind kind = call_kind::once;
    std::uint32_t rank = 0;
    std::uint32_t account_rank = 0; ///< has precedence over `rank`
    /** Name of the account, empty if none; unset if there are no accounts. */
    std::optional<std::string> account;
    double account_weight = 1; ///< share of the account in queues
    time_point deadline{};
    duration objective{}; ///< latency objective of the route
    duration elapsed{};   ///< since the client's first try; 0 on a first try
    bool nested = false;  ///< made by a target in the course of a run
    /** Queue rank of the run that made the call; unset if that is unknown. */
    std::optional<std::uint32_t> parent_rank;
    /** Until the end of that run's objective; unset if that is unknown. */
    std::optional<duration> parent_left;
    bool is_probe = false; ///< shows whether a quarantined call still crashes
    /** The entry is in another failure domain than the owner. */
    bool from_other_domain = false;
    /** Sent again to the same owner after its target refused it while it had
     * free slots. */
    bool is_repeat = false;
    /** An owner asked before has booked the call's return, or has removed its
     * booking if the call is a return. */
    bool return_handled = false;
    /** What the entry knows of the owner's target. */
    std::optional<target_constraints> constraints;

    /** @return the priority in the queue: account rank, then route rank. */
    std::uint32_t urgency() const noexcept
    {
        constexpr std::uint32_t ranks_of_routes = 256;
        return account_rank * ranks_of_routes +
               std::min(rank, ranks_of_routes - 1);
    }

    /** @return the rank in the queue of an owner: nested calls go before calls
     * that have not begun, by the rank of the run that made them, so that work
     * which has begun is finished. */
    std::uint32_t queue_rank() const noexcept
    {
        constexpr std::uint32_t first_rank_of_callers = 1U << 24;
        if (nested)
            return std::min(parent_rank.value_or(0) % first_rank_of_callers,
                            first_rank_of_callers - 1);
        return first_rank_of_callers +
               std::min(urgency(), first_rank_of_callers - 1);
    }

    /** @return the time since a first try from which on a call counts as a
     * return. */
    duration min_elapsed() const noexcept
    {
        constexpr int objective_part = 8;
        return objective / objective_part;
    }

    /** @return whether its client made it again after a refusal. */
    bool is_return() const noexcept
    {
        return !nested && elapsed > duration::zero();
    }

    /** @return the class by which runs, answers and budgets are grouped. */
    work_class work() const
    {
        return {rank, std::chrono::duration_cast<milliseconds>(objective),
                kind};
    }
};

/**
 * @return whether @p status is 5xx. After such a response the connection is
 * closed: clients retry on a new one, and in an overload the old ones would
 * pile up.
 */
constexpr bool is_server_error(unsigned status) noexcept
{
    constexpr unsigned server_errors = 500;
    return status >= server_errors;
}

/** How a call was sent to a target last, for logs. */
struct last_send
{
    std::string target;           ///< its start, see `target_report`
    std::uint64_t connection = 0; ///< number of the connection at its owner
    std::size_t place = 0;        ///< of the request on the connection, from 1
    unsigned skipped = 0; ///< responses to other requests that were skipped
};

/** The outcome of a call. */
struct owner_answer
{
    call_outcome end = call_end::unknown;
    std::optional<whole_response> response; ///< the target's, if answered
    held_memory memory{};                   ///< of its body
    std::string reason;                     ///< set unless answered
    bool reached = false; ///< the target has, or may have, seen the call
    bool others_would_refuse = false; ///< for the same reason
    /** The target refused the call though it had free slots: the refusal says
     * nothing of its load, and the call may be sent to it again at once. */
    bool refused_with_room = false;
    bool target_crashed = false; ///< while the call ran there
    duration retry_after{};      ///< for a refusal
    bool return_handled = false; ///< see `owner_call`
    /** The owner's last send of the call; unset if there was none, or if the
     * target answered. */
    std::optional<last_send> sent;
    load_report report;
    std::optional<target_constraints> constraints; ///< of the target
};

/** @return the outcome of a call after one send that ended so. */
call_outcome outcome_of(exchange_end end) noexcept;

/** @return whether the receiver has, or may have, handled the request. */
bool is_handed_over(exchange_end end) noexcept;

/** Reason of the outcome of a call that its node ended to stop in time. */
inline constexpr const char* ended_with_node =
    "this node ended before the answer came";

/**
 * Sets the deadline of @p call to @p calls_end if that is earlier.
 * @return whether it was
 */
bool limit_deadline(owner_call& call, time_point calls_end);

/** Changes a timeout, due to a limited deadline, to an unknown outcome: the
 * client may still wait. */
void ended_early(owner_answer& answer);

/** Reason for refusing a quarantined call. */
inline constexpr const char* crashes_its_targets = "ends_its_targets";
/** Reason for refusing a call whose body does not fit into memory. */
inline constexpr const char* no_body_memory = "no_body_memory";

/** Request id of load queries and of the answers to them. */
inline constexpr const char* load_query_id = "load";

/** @return a request that asks an owner for its load; runs nothing. */
whole_request load_query(const std::string& id_field);

/** @return a load query that also claims a transfer slot for a body on the
 * owner's link. A `retry_after` of zero in the answer grants the slot. */
whole_request transfer_slot_claim(const std::string& id_field,
                                  std::uint64_t bytes);

/** @return the bytes of the body that @p query claims a slot for. */
std::optional<std::uint64_t> claimed_bytes(const whole_request& query);

/** @return whether @p request is a load query. */
bool is_load_query(const whole_request& request);

/** Writes @p call into the fields of @p request for another node. */
void write_hop_fields(request_head& request,
                      const owner_call& call,
                      time_point now);

/** @return the time left of the call that another node forwards with @p head;
 * zero if the field is missing or malformed. */
duration peer_time_left(const request_head& head);

/** Reads the call from a request of another node and removes its fields.
 * @return nothing if a field is missing or malformed */
std::optional<owner_call> take_hop_fields(received_request& request,
                                          const std::string& id_field);

/** @return @p answer as the response to another node. */
whole_response to_hop_response(owner_answer answer,
                               const owner_call& call,
                               const std::string& id_field);

/** @return the response that a node sends before it closes an idle connection
 * of another: requests that cross it do not run. */
whole_response goaway_response();

/** Parses another node's response; `unknown` if it is not an owner's. */
owner_answer from_hop_response(whole_response response);

} // namespace tillerhall
