/** @file The reports of a target to its node. */
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
    draining, ///< it is going to stop: no new work
    leaving   ///< its last report before it stops: no new work
};

/**
 * Starts of a target usually have ids of their own; two starts with the same id
 * are distinguished by their start time.
 */
struct target_report
{
    std::string id;
    std::uint64_t started_ms = 0; ///< wall clock of its start; 0 if not given
    std::string service;
    address where;
    std::string domain;     ///< failure domain
    std::string release;    ///< version of the target's software
    std::int64_t slots = 1; ///< requests that it processes at once
    report_state state = report_state::ready;
    std::uint64_t sequence = 0; ///< increases with each report of this id
    milliseconds cold_for{0};   ///< how much longer it is cold

    /** @return an id of this start of the target. */
    std::string start() const
    {
        return started_ms == 0 ? id : id + '@' + std::to_string(started_ms);
    }
};

} // namespace tillerhall
