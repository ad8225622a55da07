/** @file Many nodes restart at once; load on the source must stay low. */
#include "experiment.hpp"

#include "tillerhall/table/csv.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace tillerhall::bench
{
namespace
{

constexpr std::chrono::seconds storm_limit(60);

/** Checks versions and routes of all nodes during the restart. */
class storm_checker
{
public:
    explicit storm_checker(harness::cluster& system)
        : m_system(system)
        , m_last(system.nodes().size(), 0)
    {
    }

    /** Checks every node once. @return true if all are ready and at @p head
     * or newer. */
    bool check_nodes(std::int64_t head)
    {
        bool all = true;
        for (std::size_t i = 0; i < m_last.size(); ++i)
        {
            const auto status = m_system.status(i);
            if (status.empty())
            {
                all = false;
                continue;
            }
            const auto version = status.at("version").to_number<std::int64_t>();
            const bool ready = status.at("phase").as_string() == "ready";
            // A ready node takes calls, so its version must not go back,
            // not even over a restart.
            if (ready && version < m_last[i])
                ++rollbacks;
            if (ready)
                m_last[i] = std::max(m_last[i], version);
            orphan_routes +=
                status.at("orphan_routes").to_number<std::int64_t>();
            all = all && ready && version >= head;
        }
        return all;
    }

    std::int64_t rollbacks = 0;
    std::int64_t orphan_routes = 0;

private:
    harness::cluster& m_system;
    std::vector<std::int64_t> m_last;
};

/** @return all control bytes of the nodes from @p first on. */
double control_bytes_from(harness::cluster& system, std::size_t first)
{
    double bytes = 0;
    for (std::size_t i = first; i < system.nodes().size(); ++i)
        bytes += system.status(i).at("control_bytes").to_number<double>();
    return bytes;
}

std::string changed_table(const std::string& csv, std::int64_t weight)
{
    auto table = read_csv(csv).parsed.table;
    auto first = table.rows().front();
    first.weight = weight;
    table.put(first);
    return write_csv(table);
}

} // namespace

int run_storm(worker& on, const cxxopts::ParseResult& options)
{
    auto built = harness::profile(options["profile"].as<std::string>(),
                                  options["nodes"].as<std::size_t>());
    built.share_targets = true;
    built.settings["target.health_ms"] = "5000";
    built.settings["log.level"] = "warn";
    harness::cluster system(on, built);
    if (const auto started = system.start_with_table(); !started)
    {
        print_progress(started.reason().message());
        return 1;
    }
    const auto table = system.default_table();
    storm_checker checker(system);
    checker.check_nodes(1);
    const auto count = system.nodes().size();
    const auto share = std::clamp(options["kill"].as<double>(), 0.0, 0.95);
    const auto killed = static_cast<std::size_t>(
        std::floor(share * static_cast<double>(count)));
    print_progress("killing " + std::to_string(killed) + " of " +
                   std::to_string(count));
    for (std::size_t i = 0; i < killed; ++i)
        system.nodes()[i].runs.kill();
    // Accepted while they are down, so that all of them restart outdated.
    if (!system.accept(count - 1, changed_table(table, 7), 1, "meanwhile"))
        return 1;
    const auto survivors_before = control_bytes_from(system, killed);
    system.get(system.platform(), "/admin/reset");
    const auto begin = steady_clock::now();
    for (std::size_t i = 0; i < killed; ++i)
        if (const auto restarted = system.restart(i); !restarted)
        {
            print_progress(restarted.reason().message());
            return 1;
        }
    const bool recovered =
        system.wait_until([&] { return checker.check_nodes(2); }, storm_limit);
    const std::chrono::duration<double, std::milli> took =
        steady_clock::now() - begin;
    const auto counts = system.get(system.platform(), "/admin/stats");
    // The counters of restarted nodes begin at 0.
    const double spent = control_bytes_from(system, 0) - survivors_before;
    const bool passed = recovered && checker.rollbacks == 0 &&
                        checker.orphan_routes == 0 && counts;
    report("storm",
           {{"nodes", count},
            {"killed", killed},
            {"all_at_head_ms", recovered ? std::round(took.count()) : -1.0},
            {"peak_source_reads_s",
             counts ? counts->at("peak_reads_s").to_number<double>() : -1.0},
            {"source_bytes",
             counts ? counts->at("bytes_out").to_number<double>() : -1.0},
            {"control_bytes_per_node",
             std::round(spent / static_cast<double>(count))},
            {"rollbacks", checker.rollbacks},
            {"orphan_routes", checker.orphan_routes}});
    return passed ? 0 : 1;
}

} // namespace tillerhall::bench
