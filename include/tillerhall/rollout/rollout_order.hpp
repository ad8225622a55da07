/** @file An operator's order to roll out a release. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstdint>
#include <string>

namespace tillerhall
{

/** An order to move a service's calls to targets of another release. */
struct rollout_order
{
    std::string service;
    std::string release;        ///< of the targets' software
    milliseconds time{0};       ///< until the roll-out must be complete
    std::uint64_t revision = 0; ///< of the stored row; an order with a greater
                                ///< one replaces this
};

} // namespace tillerhall
