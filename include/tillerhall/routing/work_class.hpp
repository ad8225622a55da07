/** @file Classes of calls that an owner treats alike. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/routing/call_route.hpp"

#include <compare>
#include <cstdint>

namespace tillerhall
{

/**
 * Calls of one service with the same rank, objective and kind. These are sent
 * with each call anyway; a route's name would be more precise but would have to
 * be sent, too.
 */
struct work_class
{
    std::uint32_t rank = 0;
    milliseconds objective{0};
    call_kind kind = call_kind::once;

    friend auto operator<=>(const work_class&, const work_class&) = default;
};

} // namespace tillerhall
