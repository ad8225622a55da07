/** @file What a target tells the node beside it about itself. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/core/time.hpp"

#include <cstdint>
#include <string>

namespace tillerhall
{

/** What a target asks for with a report. */
enum class report_state
{
    ready,    ///< send it work
    draining, ///< it will end: no new work
    leaving   ///< the last word before its end: no new work
};

/** One report. Every start of a target has an id of its own. */
struct target_report
{
    std::string id;
    std::string service;
    address where;
    std::string domain;     ///< failure domain
    std::string release;    ///< version of the target's software
    std::int64_t slots = 1; ///< requests that it works on at once
    report_state state = report_state::ready;
    std::uint64_t sequence = 0; ///< rises with each report of this id
    milliseconds cold_for{0};   ///< how much longer it is slow from its start
};

} // namespace tillerhall
