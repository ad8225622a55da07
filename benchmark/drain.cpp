/** @file Last new call at a node that drains under load, and lost calls. */
#include "experiment.hpp"
#include "load.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>

namespace tillerhall::bench
{
namespace
{

constexpr const char* service = "oogstbeurs";

} // namespace

int run_drain(worker& on, const cxxopts::ParseResult& options)
{
    harness::cluster_options built;
    for (const auto* domain : {"polder-a", "polder-b", "polder-c"})
        for (int i = 0; i < 3; ++i)
            built.placements.push_back({service, domain});
    built.placements.push_back({"perceel", "polder-a"});
    built.settings["log.level"] = "warn";
    harness::cluster system(on, built);
    if (const auto started = system.start_with_table(); !started)
    {
        print_progress(started.reason().message());
        return 1;
    }
    load_plan plan;
    plan.rate = std::min(400.0, options["rate"].as<double>());
    plan.length = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(options["seconds"].as<double>()));
    // Calls enter through all nodes, including the one that leaves.
    for (auto& each : system.nodes())
        plan.through.push_back(each.caller);
    plan.make = [](std::size_t number)
    {
        return harness::call_request{service, "drain-" + std::to_string(number),
                                     "POST", "/?sleep_ms=100",
                                     std::string(100'000, 'x')};
    };
    constexpr std::size_t leaving = 4;
    std::int64_t left_us = 0;
    int code = -1;
    bool stopped = false;
    on.spawn(
        [&]
        {
            sleep_for(on.io(), plan.length / 3);
            left_us = wall_clock_us();
            system.nodes()[leaving].runs.send(SIGTERM);
            stopped = system.wait_until(
                [&] { return !system.nodes()[leaving].runs.is_running(); });
            code = system.nodes()[leaving].runs.wait();
        });
    call_ledger ledger;
    const auto load = run_load(on, plan, &ledger);
    system.wait_until([&] { return stopped; });
    const auto totals = ledger.reconcile(system);
    const auto counts =
        system.get(system.nodes()[leaving].target, "/admin/stats");
    const auto last_us =
        counts ? counts->at("last_run_us").to_number<std::int64_t>() : 0;
    const double last_ms =
        std::max(0.0, static_cast<double>(last_us - left_us) / 1000);
    // Calls through the stopped node are refused by the kernel and have not
    // run, so they are not counted as cut.
    std::int64_t cut = totals.doubled + totals.wrong + totals.not_run_that_ran;
    cut += counts ? counts->at("cancelled").to_number<std::int64_t>() : 1;
    const bool passed = cut == 0 && code == 0;
    report("drain", {{"last_new_work_ms", last_ms},
                     {"cut", cut},
                     {"exit_code", code},
                     {"calls", load->sent},
                     {"good", load->good},
                     {"refused", totals.refused},
                     {"unknown", totals.unknown}});
    return passed ? 0 : 1;
}

} // namespace tillerhall::bench
