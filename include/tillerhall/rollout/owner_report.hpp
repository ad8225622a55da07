/** @file What the owner of a target tells of its runs while a roll-out runs. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/rollout/run_counts.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace tillerhall
{

/** One owner's counts since its target started; the newest report counts. */
struct owner_report
{
    address owner; ///< control address
    std::string service;
    std::uint64_t boot = 0; ///< of the owner; a greater one counts anew
    std::string target_id;
    std::string release;
    std::uint32_t running = 0; ///< calls that run or wait there now
    std::uint64_t taken = 0;   ///< calls taken since the target started
    counts_by_class counts;
};

boost::json::object to_json(const owner_report& sent);

/** Throws std::exception on a bad message; the RPC layer counts it. */
owner_report owner_report_from_json(const boost::json::object& members);

} // namespace tillerhall
