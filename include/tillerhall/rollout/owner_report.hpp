/** @file An owner's report on the runs at its target during a roll-out. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/rollout/run_counts.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace tillerhall
{

/** Cumulative counts since the target started; the newest report replaces
 * earlier ones. */
struct owner_report
{
    address owner; ///< control address
    std::string service;
    std::uint64_t boot = 0; ///< of the owner; counts restart with a greater one
    std::string target_id;
    std::string release;
    std::uint32_t running = 0; ///< calls that run or wait there now
    std::uint64_t taken = 0;   ///< calls accepted since the target started
    counts_by_class counts;
};

boost::json::object to_json(const owner_report& sent);

/** Throws std::exception on a malformed message; the RPC layer counts it. */
owner_report owner_report_from_json(const boost::json::object& members);

} // namespace tillerhall
