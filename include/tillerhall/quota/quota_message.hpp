/** @file Messages between entries and quota ledgers. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/** One account's calls since the sender's last message. */
struct quota_counts
{
    std::string account;
    std::int64_t asked = 0; ///< calls that carried one of its keys
    /** Calls that were admitted, less those given back since they reached no
     * target; negative if more were given back than admitted. */
    std::int64_t admitted = 0;
    std::optional<double> level; ///< of its bucket; between ledgers only
    std::int64_t refused = 0;    ///< calls refused for the quota
};

/** The share of an account's calls to admit until the next message. */
struct quota_limit
{
    std::string account;
    double admitted = 1;     ///< share of its calls
    duration wait{};         ///< until its bucket has a token again
    double demand_ratio = 1; ///< requested rate, as a multiple of the quota
};

boost::json::value to_json(const std::vector<quota_counts>& sent);
boost::json::value to_json(const std::vector<quota_limit>& sent);

/** @return the refused calls by account. They are sent beside the counts, so
 * that nodes of an earlier version can read these. */
boost::json::value refusals_to_json(const std::vector<quota_counts>& sent);

/** Adds to @p counts what `refusals_to_json` made; throws like those below. */
void add_refusals(std::vector<quota_counts>& counts,
                  const boost::json::value& read);

/** Throw std::exception on a malformed message; the RPC layer counts it. */
std::vector<quota_counts>
quota_counts_from_json(const boost::json::value& read);
std::vector<quota_limit> quota_limits_from_json(const boost::json::value& read);

} // namespace tillerhall
