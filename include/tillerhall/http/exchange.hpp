/** @file Sends one request and reads its response, both held in memory. */
#pragma once

#include "tillerhall/http/cancel_scope.hpp"
#include "tillerhall/http/stream.hpp"
#include "tillerhall/http/whole_message.hpp"

#include <optional>
#include <string>

namespace tillerhall
{

class exchange_observer;

/** How an exchange ended. */
enum class exchange_end
{
    answered,    ///< a complete response with the request's id arrived
    not_written, ///< no byte of the request was accepted for sending
    discarded,   ///< the peer discards the request with the connection
    unknown,     ///< the request may have arrived; no complete response did
    timed_out,   ///< as `unknown`, after the deadline
    cancelled    ///< the client disconnected
};

std::string_view name_of(exchange_end end) noexcept;

/** Deadline of an exchange, and how its response is recognized. */
struct exchange_plan
{
    time_point deadline;
    std::string id_field; ///< response field that must hold `id`
    /** Value of `id_field`; responses with another one are skipped. If empty,
     * only a response without the field, or with an empty one, is accepted. */
    std::string id;
    exchange_observer* observer = nullptr; ///< may be null
    /** Marks a response after which the peer runs no request of the
     * connection that it has not answered; empty if it sends none. */
    std::string goaway_field{};
    /** Memory for the response's body; may be null. A response that does not
     * fit is given up, with the end `unknown`. */
    memory_account* memory = nullptr;
};

struct exchange_result
{
    exchange_end end = exchange_end::unknown;
    std::optional<whole_response> response;
    held_memory memory{};  ///< of the response's body; null without a budget
    std::string detail;    ///< the reason, unless answered
    bool reusable = false; ///< the stream can carry another exchange
    unsigned skipped = 0;  ///< responses to other requests
};

/**
 * Sends @p request on @p stream and reads until the response with its id is
 * complete. A response may arrive before the request is sent; the stream is
 * then not reusable. A response without a length is complete only if the
 * peer closes the stream after it, receives the whole request, and does not
 * reset the stream. Cancelling @p scope closes the stream.
 */
exchange_result exchange(tcp_stream& stream,
                         outgoing_request& request,
                         const exchange_plan& plan,
                         cancel_scope& scope);

/** The same for a request that owns its body. */
exchange_result exchange(tcp_stream& stream,
                         const whole_request& request,
                         const exchange_plan& plan,
                         cancel_scope& scope);

/** @return the timeout of the response's Keep-Alive field, after which its
 * sender may close the idle connection; nullopt without one (RFC 9112, 9.3). */
std::optional<std::chrono::seconds>
keep_alive_timeout(const whole_response& response);

} // namespace tillerhall
