/** @file One whole request out, one whole response back. */
#pragma once

#include "tillerhall/http/cancel_scope.hpp"
#include "tillerhall/http/stream.hpp"
#include "tillerhall/http/whole_message.hpp"

#include <optional>
#include <string>

namespace tillerhall
{

/** How an exchange ended. */
enum class exchange_end
{
    answered,  ///< a whole response with the request's id came
    not_sent,  ///< no byte of the request can have arrived
    unknown,   ///< it may have arrived; no whole response came
    timed_out, ///< as `unknown`, because the deadline passed
    cancelled  ///< the client left
};

std::string_view name_of(exchange_end end) noexcept;

/** What to send and what to expect. */
struct exchange_plan
{
    time_point deadline;
    std::string id_field; ///< response field that must hold `id`
    std::string id;       ///< responses with another id are skipped
};

struct exchange_result
{
    exchange_end end = exchange_end::unknown;
    std::optional<whole_response> response;
    std::string detail;    ///< why, unless answered
    bool reusable = false; ///< the stream may carry another exchange
    unsigned skipped = 0;  ///< responses to somebody else's request
};

/**
 * Sends @p request on @p stream and reads until the response with its id is
 * whole. A response may come before the request is sent; the stream is then
 * not reusable. A response without a length counts only when the stream ends
 * cleanly behind it. The stream is closed when @p scope is cancelled.
 */
exchange_result exchange(tcp_stream& stream,
                         whole_request& request,
                         const exchange_plan& plan,
                         cancel_scope& scope);

/** @return seconds for which the sender of @p response keeps its idle
 * connection, if it says so (RFC 9112, 9.3; Keep-Alive: timeout=N). */
std::optional<std::chrono::seconds>
idle_seconds_told(const whole_response& response);

} // namespace tillerhall
