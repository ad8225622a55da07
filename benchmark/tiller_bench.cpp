/** @file The load and experiment tool, with a subcommand per experiment. */
#include "experiment.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace tillerhall::bench
{
namespace
{

constexpr std::array experiment_table{
    experiment{
        "demo",
        "end-to-end run, from an edited cell to the calls that follow it",
        run_demo},
    experiment{"convergence", "convergence time and control bytes per strategy",
               run_convergence},
    experiment{"storm", "many nodes killed and restarted at once", run_storm},
    experiment{"requests",
               "latency and processor time that the mesh adds, per policy",
               run_requests},
    experiment{"bodies", "memory of nodes while large bodies pass", run_bodies},
    experiment{"drain", "a node drains under load", run_drain},
    experiment{"claims",
               "throughput and store writes of calls with idempotency keys",
               run_claims},
    experiment{"slopes", "growth of state, messages, time and memory",
               run_slopes},
    experiment{"faults", "random faults with checks of the guarantees",
               run_faults},
};

cxxopts::Options make_options(const std::string& name)
{
    cxxopts::Options options("tiller-bench " + name);
    options.add_options()("nodes", "number of nodes",
                          cxxopts::value<std::size_t>()->default_value("13"))(
        "profile", "akkerbond or blue-mahoe",
        cxxopts::value<std::string>()->default_value("akkerbond"))(
        "changes", "versions to accept",
        cxxopts::value<std::size_t>()->default_value("20"))(
        "strategy", "a strategy's name, or all",
        cxxopts::value<std::string>()->default_value("all"))(
        "services", "services in the table, 0 for the profile's own",
        cxxopts::value<std::size_t>()->default_value("0"))(
        "idle", "seconds of idle traffic to measure",
        cxxopts::value<double>()->default_value("5"))(
        "kill", "share of nodes to kill",
        cxxopts::value<double>()->default_value("0.5"))(
        "seed", "seed of the random schedules",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "schedules", "random schedules to run",
        cxxopts::value<std::size_t>()->default_value("3"))(
        "rate", "calls per second",
        cxxopts::value<double>()->default_value("1000"))(
        "seconds", "length of a measurement in seconds",
        cxxopts::value<double>()->default_value("10"))(
        "policy", "a policy's name, or all",
        cxxopts::value<std::string>()->default_value("all"))(
        "bodies", "number of concurrent bodies",
        cxxopts::value<std::size_t>()->default_value("20"))(
        "megabytes", "size of each body in megabytes",
        cxxopts::value<std::size_t>()->default_value("1000"))(
        "output", "file for the points of slopes",
        cxxopts::value<std::string>()->default_value("slopes.csv"))(
        "faults", "inject faults during the measurement")("h,help",
                                                          "show this");
    return options;
}

int dispatch(int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    const auto chosen =
        std::ranges::find(experiment_table, name, &experiment::name);
    if (chosen == experiment_table.end())
    {
        std::cerr << "tiller-bench EXPERIMENT [options]\n";
        for (const auto& each : experiment_table)
            std::cerr << "  " << each.name << ": " << each.summary << "\n";
        return 2;
    }
    auto options = make_options(name);
    try
    {
        const auto given = options.parse(argc - 1, argv + 1);
        if (given.count("help") != 0)
        {
            std::cout << options.help();
            return 0;
        }
        return run_main_fiber([&](worker& on)
                              { return chosen->run(on, given); });
    }
    catch (const cxxopts::exceptions::exception& failed)
    {
        std::cerr << failed.what() << "\n" << options.help();
        return 2;
    }
}

} // namespace

void print_progress(const std::string& line)
{
    std::cout << line << std::endl;
}

void report(const std::string& name, const boost::json::object& result)
{
    const auto text = boost::json::serialize(result);
    std::filesystem::create_directories("results");
    std::ofstream file("results/" + name + ".csv", std::ios::app);
    std::string quoted;
    for (const char c : text)
        quoted += c == '"' ? std::string("\"\"") : std::string(1, c);
    file << wall_clock_us() / 1'000'000 << ",\"" << quoted << "\"\n";
    std::cout << "RESULT " << text << std::endl;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto at =
        static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(at, values.size() - 1)];
}

fleet_sample sample_fleet(harness::cluster& system)
{
    fleet_sample sample;
    sample.at = steady_clock::now();
    double live = 0;
    for (std::size_t i = 0; i < system.nodes().size(); ++i)
    {
        const auto status = system.status(i);
        if (status.empty())
            continue;
        const auto used = system.nodes()[i].runs.usage();
        sample.control_bytes += status.at("control_bytes").to_number<double>();
        sample.cpu_s += used.cpu_s;
        sample.rss_mb += used.rss_mb;
        live += 1;
    }
    sample.control_bytes /= std::max(1.0, live);
    sample.cpu_s /= std::max(1.0, live);
    sample.rss_mb /= std::max(1.0, live);
    if (const auto counts = system.get(system.platform(), "/admin/stats"))
    {
        sample.source_reads = counts->at("reads").to_number<double>();
        sample.source_bytes = counts->at("bytes_out").to_number<double>();
    }
    return sample;
}

} // namespace tillerhall::bench

int main(int argc, char** argv)
{
    std::_Exit(tillerhall::bench::dispatch(argc, argv));
}
