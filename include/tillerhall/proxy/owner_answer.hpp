/** @file What an entry asks of an owner, what it is told, and both as HTTP. */
#pragma once

#include "tillerhall/http/whole_message.hpp"
#include "tillerhall/routing/call_route.hpp"
#include "tillerhall/routing/target_board.hpp"
#include "tillerhall/routing/work_class.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace tillerhall
{

/** How a call ended, as far as is known. */
enum class call_end
{
    answered,  ///< the target gave a whole answer
    not_run,   ///< it did not run and will not
    unknown,   ///< it may have run
    timed_out, ///< it may have run; its time is over
    cancelled  ///< its client left
};

std::string_view name_of(call_end end) noexcept;

/** A call on its way to the owner of a target. */
struct owner_call
{
    std::string request_id;
    std::string service;
    std::string origin; ///< service of the host where the call began
    call_kind kind = call_kind::once;
    std::uint32_t rank = 0;
    std::uint32_t account_rank = 0; ///< goes before `rank`
    /** That it is made for, none if empty; not set without accounts. */
    std::optional<std::string> account;
    time_point deadline{};
    duration objective{};  ///< within which an answer is worth most
    duration elapsed{};    ///< since its client's first try, if that was before
    bool nested = false;   ///< made by a target in the course of a run
    bool is_probe = false; ///< of a held call, to see whether it still is one

    /** @return its urgency among all that wait: the account's, then the
     * route's. */
    std::uint32_t urgency() const noexcept
    {
        constexpr std::uint32_t ranks_of_routes = 256;
        return account_rank * ranks_of_routes +
               std::min(rank, ranks_of_routes - 1);
    }

    /** @return what runs, answers and budgets are compared by. */
    work_class work() const
    {
        return {rank, std::chrono::duration_cast<milliseconds>(objective),
                kind};
    }
};

/**
 * @return whether @p status is of a server. A client that tries again after it
 * does so on a new connection. Left open, the old one would stay idle: in an
 * overload hundreds a node did.
 */
constexpr bool is_server_error(unsigned status) noexcept
{
    constexpr unsigned server_errors = 500;
    return status >= server_errors;
}

/** What became of it. */
struct owner_answer
{
    call_end end = call_end::unknown;
    std::optional<whole_response> response; ///< the target's, if answered
    std::string reason;                     ///< why, unless answered
    bool reached = false; ///< the target has, or may have, seen the call
    bool others_would_refuse = false; ///< other targets would refuse it as well
    bool target_crashed = false;      ///< while the call ran there
    duration retry_after{};           ///< of a refusal
    owner_word report;
};

/** Why a call is refused that targets have ended under. */
inline constexpr const char* ends_its_targets = "ends_its_targets";

/** Stands for the id of a call in a question and its answer. */
inline constexpr const char* load_query_id = "load";

/** @return a request that asks an owner for its load; nothing runs. */
whole_request load_query(const std::string& id_field);

/** @return the same, claiming a turn on the owner's link for a body: the
 * answer's time to come back is zero if it may be sent now. */
whole_request transfer_slot_claim(const std::string& id_field,
                                  std::uint64_t bytes);

/** @return the bytes of the body that @p question claims a turn for. */
std::optional<std::uint64_t> claimed_bytes(const whole_request& query);

/** @return whether @p request only asks for the load. */
bool is_load_query(const whole_request& request);

/** Writes @p call into @p request, which goes to another node. */
void write_hop_fields(whole_request& request,
                      const owner_call& call,
                      time_point now);

/** Reads the call out of a request from another node and removes the fields.
 * @return nothing if a field is missing or malformed. */
std::optional<owner_call> take_hop_fields(received_request& request,
                                          const std::string& id_field);

/** @return @p answer as the response to another node. */
whole_response to_hop_response(owner_answer answer,
                               const owner_call& call,
                               const std::string& id_field);

/** Reads what another node answered; `unknown` if it is no owner's answer. */
owner_answer from_hop_response(whole_response response);

} // namespace tillerhall
