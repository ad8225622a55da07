/** @file One row of the table: a service at a place. */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace tillerhall
{

/** The key of a row; its order is the canonical order of the table. */
struct row_key
{
    std::string service;
    std::string place; ///< a failure domain

    auto operator<=>(const row_key&) const = default;
};

/** The weight and the limits of a service at a place. */
struct row
{
    row_key key;
    std::int64_t weight = 100;        ///< relative share of calls; 0: none
    std::int64_t max_in_flight = 12;  ///< concurrent calls per target
    std::int64_t queue = 64;          ///< longest queue per target, in calls
    std::int64_t queue_wait_ms = 200; ///< longest wait in the queue
    std::int64_t rate_per_s = 0;      ///< calls/s per target; 0: no limit
    std::int64_t timeout_ms = 5000;   ///< longest time for one call
    std::int64_t retry_percent = 10;  ///< retries per 100 calls
    std::int64_t repeatable = 0;      ///< 1: calls of any method may be retried

    bool operator==(const row&) const = default;
};

} // namespace tillerhall
