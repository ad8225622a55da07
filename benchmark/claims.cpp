/** @file Throughput, store writes and added latency of idempotency claims. */
#include "experiment.hpp"
#include "load.hpp"

#include <boost/json.hpp>

namespace tillerhall::bench
{
namespace
{

constexpr const char* service = "oogstbeurs";
// Every n-th call reuses the key of the previous call through another node,
// as a caller does that retries after a timeout.
constexpr std::size_t repeat_every = 10;

} // namespace

int run_claims(worker& on, const cxxopts::ParseResult& options)
{
    harness::cluster_options built;
    for (int i = 0; i < 8; ++i)
        built.placements.push_back({service, "polder-a"});
    built.settings["log.level"] = "warn";
    built.settings["target.slots"] = "100";
    built.behaviour = R"({"slots":100,"service_ms":1})";
    harness::cluster system(on, built);
    if (const auto started = system.start_with_table(); !started)
    {
        print_progress(started.reason().message());
        return 1;
    }
    load_plan plan;
    plan.rate = options["rate"].as<double>();
    plan.length = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(options["seconds"].as<double>()));
    for (auto& each : system.nodes())
        plan.through.push_back(each.caller);
    const auto make = [](const std::string& prefix, bool keyed)
    {
        return [prefix, keyed](std::size_t number)
        {
            const auto first =
                number % repeat_every == 1 && keyed ? number - 1 : number;
            const auto id = prefix + std::to_string(first);
            harness::call_request call{service, id, "POST", "/", "x"};
            if (keyed)
                call.fields = {{"Idempotency-Key", id}};
            return call;
        };
    };
    plan.make = make("plain-", false);
    const auto plain = run_load(on, plan, nullptr);
    system.get(system.platform(), "/admin/reset");
    plan.make = make("keyed-", true);
    call_ledger ledger;
    const auto keyed = run_load(on, plan, &ledger);
    const auto counts = system.get(system.platform(), "/admin/stats");
    const auto totals = ledger.reconcile(system);
    const double writes =
        counts ? counts->at("writes").to_number<double>() : -1;
    report("claims",
           {{"rate", plan.rate},
            {"claims_s", static_cast<double>(totals.good) / keyed->seconds},
            {"store_writes_s", writes / keyed->seconds},
            {"store_reads_s",
             (counts ? counts->at("reads").to_number<double>() : -1) /
                 keyed->seconds},
            {"plain_p99_ms", plain->latency(0.99)},
            {"added_p50_ms", keyed->latency(0.5) - plain->latency(0.5)},
            {"added_p99_ms", keyed->latency(0.99) - plain->latency(0.99)},
            {"calls", keyed->sent},
            {"good", keyed->good},
            {"refused", totals.refused},
            {"doubled", totals.doubled}});
    return totals.doubled == 0 ? 0 : 1;
}

} // namespace tillerhall::bench
