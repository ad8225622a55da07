/** @file Open-loop load, free of coordinated omission. */
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

/** What load to make. */
struct load_plan
{
    double rate = 1000; ///< calls a second, over all addresses
    duration length = std::chrono::seconds(10);
    std::vector<address> through;
    /** Makes the n-th call. */
    std::function<harness::call_request(std::size_t)> make;
};

/** What the load met. */
struct load_result
{
    std::vector<double> latencies_ms; ///< of good calls, from when each was due
    std::int64_t sent = 0;
    std::int64_t good = 0;
    double seconds = 0;

    /** @return the latency below which @p share of the good calls lie. */
    double latency(double share) const { return quantile(latencies_ms, share); }
};

/**
 * Sends calls at their due times whatever becomes of earlier ones, and counts
 * latency from the due time, so that a stalled system cannot hide its stall
 * (coordinated omission; Tene, "How NOT to Measure Latency", 2015).
 * @param ledger notes every call, may be null
 */
std::unique_ptr<load_result>
run_load(worker& on, const load_plan& plan, call_ledger* ledger);

} // namespace tillerhall::bench
