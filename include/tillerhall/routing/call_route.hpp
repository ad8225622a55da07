/** @file One route of the operators' configuration. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/**
 * Whether calls of a route may be repeated, and whether their bodies are large.
 */
enum class call_kind
{
    repeatable,       ///< may run any number of times
    once,             ///< may run at most once for each attempt of a client
    large_once,       ///< as `once`, with a large request body
    large_repeatable, ///< as `repeatable`, with a large answer
    last = large_repeatable
};

std::string_view name_of(call_kind kind) noexcept;

/** @return true if a call of @p kind may run more than once. */
constexpr bool may_repeat(call_kind kind) noexcept
{
    return kind == call_kind::repeatable || kind == call_kind::large_repeatable;
}

/** A service and its share of a route's calls. */
struct service_share
{
    std::string service;
    std::uint32_t weight = 1; ///< relative to the other shares of the route
};

/** Where calls to one host and path prefix go, and with which limits. */
struct call_route
{
    std::string name;
    std::string host;                  ///< lower case, without a port
    std::string path_prefix;           ///< begins and ends with a slash
    std::vector<service_share> shares; ///< at least one
    call_kind kind = call_kind::once;
    milliseconds timeout{0};       ///< longest time until the call is answered
    milliseconds objective{0};     ///< an answer within this time is in time
    std::uint32_t max_targets = 1; ///< most targets that one call is sent to
    std::uint32_t rank = 0; ///< urgency of its calls; 0 is the most urgent
    bool is_open = false;   ///< takes calls without a client key
};

/** Limits for targets of a service that have just started (cold targets). */
struct service_terms
{
    double cold_per_s =
        0; ///< calls a second to a cold target; 0: no extra limit
    milliseconds cold_for{0}; ///< how long a target is cold after its start
    std::string health_path;  ///< path of a target's health; empty if unknown
};

/** Size and time limits for client connections. */
struct client_limits
{
    std::size_t head_bytes = 16 * 1024;
    std::size_t body_bytes = 64 * 1024 * 1024;
    milliseconds head_timeout{3'000};  ///< from a head's first byte to its end
    milliseconds idle_timeout{15'000}; ///< between two calls of a connection
};

} // namespace tillerhall
