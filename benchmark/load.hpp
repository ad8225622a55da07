/** @file Open-loop load generator without coordinated omission. */
#pragma once

#include "call_ledger.hpp"

#include "experiment.hpp"

#include "tillerhall/core/worker.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tillerhall::bench
{

/** Parameters of a load. */
struct load_plan
{
    double rate = 1000; ///< calls per second over all addresses
    duration length = std::chrono::seconds(10);
    std::vector<address> through;
    /** Returns the n-th call. */
    std::function<harness::call_request(std::size_t)> make;
};

/** Results of a load. */
struct load_result
{
    std::vector<double> latencies_ms; ///< of good calls, from their due times
    std::int64_t sent = 0;
    std::int64_t good = 0;
    double seconds = 0;

    /** @return the @p share quantile of the latencies, in milliseconds. */
    double latency(double share) const { return quantile(latencies_ms, share); }
};

/**
 * Sends each call at its due time, independent of earlier calls, and measures
 * latency from the due time, so that stalls of the system are counted
 * (coordinated omission; Tene, "How NOT to Measure Latency", 2015).
 * @param ledger records every call, may be null
 */
std::unique_ptr<load_result>
run_load(worker& on, const load_plan& plan, call_ledger* ledger);

} // namespace tillerhall::bench
