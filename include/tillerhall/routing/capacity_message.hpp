/** @file Messages about the capacity of services in failure domains. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/membership/member.hpp"

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/** Slots of one target, as reported by its owner. */
struct owner_capacity
{
    std::string service;
    double slots = 0;     ///< usable now; 0 while it takes no calls
    double own_used = 0;  ///< in use by calls of the own domain
    double lent_used = 0; ///< in use by calls of other domains

    bool operator==(const owner_capacity&) const = default;
};

/** Demand of one entry for one service. */
struct entry_demand
{
    std::string service;
    double slots = 0;    ///< calls/s times expected run
    double borrowed = 0; ///< calls running in other domains

    bool operator==(const entry_demand&) const = default;
};

/** What a node reports to the reader of its failure domain. */
struct capacity_report
{
    address node;
    std::uint64_t sequence = 0; ///< grows with each report of the node
    std::optional<owner_capacity> owner;
    std::vector<entry_demand> demands;
};

/** Capacity and demand of one service in one failure domain, in slots. */
struct service_sum
{
    std::string service;
    double capacity = 0;
    double demand = 0;
    double lent = 0;     ///< in use by calls of other domains
    double borrowed = 0; ///< calls of this domain that run in others

    bool operator==(const service_sum&) const = default;
};

/** The sums of one failure domain. */
struct domain_sums
{
    member_place place;
    address reader;
    std::uint64_t sequence = 0; ///< grows with each message of the reader
    std::size_t nodes = 0;      ///< that the sums consist of
    milliseconds age{0};        ///< when sent
    std::vector<service_sum> services;
};

/** The answer to a report: what the entry's plan is derived from. */
struct capacity_answer
{
    std::vector<domain_sums> domains;
    /** The entry's part of its domain's demand, by service of its report. */
    std::vector<std::pair<std::string, double>> parts;
};

boost::json::object to_json(const capacity_report& sent);
boost::json::object to_json(const domain_sums& sent);
boost::json::object to_json(const capacity_answer& sent);

/**
 * Read a received message. A service whose figures are negative, not finite or
 * beyond any deployment, or that appears twice, is left out and counted in
 * @p ignored. Throw std::exception on a malformed message; the RPC layer counts
 * it.
 */
capacity_report capacity_report_from_json(const boost::json::object& read,
                                          std::size_t& ignored);
domain_sums domain_sums_from_json(const boost::json::object& read,
                                  std::size_t& ignored);
capacity_answer capacity_answer_from_json(const boost::json::object& read,
                                          std::size_t& ignored);

} // namespace tillerhall
