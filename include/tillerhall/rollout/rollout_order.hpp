/** @file What an operator orders: another release of a service's targets. */
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
    std::string release;        ///< wanted, of the targets' software
    milliseconds time{0};       ///< within which it has to be completed
    std::uint64_t revision = 0; ///< of the row that holds it; a greater one
                                ///< replaces the order
};

} // namespace tillerhall
