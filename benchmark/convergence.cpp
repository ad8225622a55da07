/** @file Convergence time and control bytes of each strategy. */
#include "experiment.hpp"

#include "tillerhall/distribution/strategy.hpp"
#include "tillerhall/table/csv.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace tillerhall::bench
{
namespace
{

namespace json = boost::json;

// Poll interval of the baselines and of the default strategy's readers.
constexpr const char* poll_ms = "1000";

/** A strategy with its poll interval. */
struct variant
{
    std::string name;
    std::string strategy;
    std::string poll;
    bool is_default = false;
    bool is_baseline = false;
};

/** Measures one variant on its own system. */
class measurement
{
public:
    measurement(worker& on,
                const cxxopts::ParseResult& options,
                variant measured)
        : m_variant(std::move(measured))
        , m_changes(options["changes"].as<std::size_t>())
        , m_idle_s(options["idle"].as<double>())
        , m_system(on, cluster_options_for(options, m_variant))
        , m_worker(on)
    {
    }

    result<json::object> run()
    {
        if (const auto started = m_system.start_with_table(); !started)
            return started.reason();
        const auto count = m_system.nodes().size();
        m_table = m_system.default_table();
        wait_for_stable_members();
        const auto idle_begin = sample_fleet(m_system);
        sleep_for(m_worker.io(),
                  milliseconds(static_cast<std::int64_t>(m_idle_s * 1000)));
        const auto idle_end = sample_fleet(m_system);
        for (std::size_t i = 0; i < m_changes; ++i)
            if (const auto changed = one_change(i); !changed)
                return changed.reason();
        const auto end = sample_fleet(m_system);
        const double idle_s = seconds(idle_end.at - idle_begin.at);
        const double active_s = seconds(end.at - idle_end.at);
        const double idle_rate =
            (idle_end.control_bytes - idle_begin.control_bytes) / idle_s;
        const double active_bytes = end.control_bytes - idle_end.control_bytes;
        const double per_change =
            std::max(0.0, active_bytes - idle_rate * active_s) /
            static_cast<double>(m_changes);
        return json::object{
            {"name", m_variant.name},
            {"is_default", m_variant.is_default},
            {"is_baseline", m_variant.is_baseline},
            {"poll_ms", std::stoi(m_variant.poll)},
            {"nodes", count},
            {"convergence_p50_ms", quantile(m_convergence_ms, 0.5)},
            {"convergence_p99_ms", quantile(m_convergence_ms, 0.99)},
            {"convergence_max_ms", quantile(m_convergence_ms, 1)},
            {"idle_bytes_per_node_s", std::round(idle_rate)},
            {"bytes_per_node_change", std::round(per_change)},
            {"total_bytes_per_node_s",
             std::round((end.control_bytes - idle_begin.control_bytes) /
                        seconds(end.at - idle_begin.at))},
            {"source_reads_s", (end.source_reads - idle_begin.source_reads) /
                                   seconds(end.at - idle_begin.at)},
            {"source_bytes_s",
             std::round((end.source_bytes - idle_begin.source_bytes) /
                        seconds(end.at - idle_begin.at))},
            {"cpu_percent_per_node",
             100 * (idle_end.cpu_s - idle_begin.cpu_s) / idle_s},
            {"rss_mb_per_node", end.rss_mb}};
    }

private:
    static harness::cluster_options
    cluster_options_for(const cxxopts::ParseResult& options,
                        const variant& measured)
    {
        auto built = harness::profile(options["profile"].as<std::string>(),
                                      options["nodes"].as<std::size_t>());
        built.share_targets = true;
        built.settings["distribution.strategy"] = measured.strategy;
        built.settings["distribution.poll_ms"] = measured.poll;
        built.settings["distribution.source_reads_per_s"] = "1000";
        built.settings["target.health_ms"] = "5000";
        built.settings["log.level"] = "warn";
        const auto services = options["services"].as<std::size_t>();
        for (std::size_t i = 0; i < built.placements.size() && services != 0;
             ++i)
            built.placements[i].service =
                "service-" + std::to_string(i % services);
        return built;
    }

    /** Waits until all member lists agree, then until join rumors are no longer
     * sent. */
    void wait_for_stable_members()
    {
        m_system.wait_until(
            [this]
            {
                const auto first = m_system.status(0);
                for (std::size_t i = 1; i < m_system.nodes().size(); ++i)
                    if (m_system.status(i).at("members_digest") !=
                        first.at("members_digest"))
                        return false;
                return true;
            });
        sleep_for(m_worker.io(), std::chrono::seconds(8));
    }

    static double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    /** Accepts one changed cell and waits until every node applies it. */
    result<void> one_change(std::size_t index)
    {
        auto table = read_csv(m_table).parsed.table;
        auto changed = table.rows()[index % table.rows().size()];
        changed.weight = 1 + static_cast<std::int64_t>(index);
        table.put(changed);
        m_table = write_csv(table);
        const auto through = index % m_system.nodes().size();
        const auto version = static_cast<std::int64_t>(index) + 2;
        // The accepting node may not have the previous version yet.
        const auto answer = m_system.accept(
            through, m_table, static_cast<std::uint64_t>(version) - 1,
            "change-" + std::to_string(index));
        if (!answer || !answer->contains("answered_us"))
            return error(error_code::internal_error,
                         answer ? json::serialize(*answer)
                                : answer.reason().message());
        const auto answered =
            answer->at("answered_us").to_number<std::int64_t>();
        if (!m_system.wait_for_version(version))
            return error(error_code::timed_out,
                         "version " + std::to_string(version) +
                             " did not reach every node");
        double last = 0;
        for (std::size_t i = 0; i < m_system.nodes().size(); ++i)
        {
            const auto status = m_system.status(i);
            const auto applied =
                status.at("applied_us").to_number<std::int64_t>();
            const double took =
                std::max(0.0, static_cast<double>(applied - answered) / 1000);
            last = std::max(last, took);
        }
        m_convergence_ms.push_back(last);
        return {};
    }

    variant m_variant;
    std::size_t m_changes;
    double m_idle_s;
    harness::cluster m_system;
    worker& m_worker;
    std::string m_table;
    /** Per change, until the last node has applied it. */
    std::vector<double> m_convergence_ms;
};

std::vector<variant> variants_for(const std::string& wanted)
{
    std::vector<variant> chosen;
    for (const auto* each : strategies())
    {
        const std::string name(each->name());
        if (wanted != "all" && wanted != name)
            continue;
        chosen.push_back({name, name, poll_ms, each == strategies().front(),
                          name == "poll"});
    }
    return chosen;
}

/** @return poll interval in milliseconds at which polling converges in
 * @p convergence_ms, since the last of many nodes sees a change after nearly
 * one interval. */
std::string matching_poll(double convergence_ms)
{
    constexpr double min_ms = 20;
    return std::to_string(static_cast<int>(std::max(min_ms, convergence_ms)));
}

} // namespace

int run_convergence(worker& on, const cxxopts::ParseResult& options)
{
    const auto wanted = options["strategy"].as<std::string>();
    if (wanted != "all" && !find_strategy(wanted))
    {
        print_progress(find_strategy(wanted).reason().message());
        return 2;
    }
    json::array measured;
    auto variants = variants_for(wanted);
    for (std::size_t i = 0; i < variants.size(); ++i)
    {
        auto outcome = measurement(on, options, variants[i]).run();
        if (!outcome)
        {
            print_progress(variants[i].name + ": " +
                           outcome.reason().message());
            return 1;
        }
        print_progress(json::serialize(*outcome));
        if (variants[i].is_default && wanted == "all")
            variants.push_back(
                {"poll_head_matching", "poll_head",
                 matching_poll(
                     outcome->at("convergence_p99_ms").to_number<double>()),
                 false, false});
        measured.push_back(std::move(*outcome));
    }
    report("convergence", {{"profile", options["profile"].as<std::string>()},
                           {"changes", options["changes"].as<std::size_t>()},
                           {"strategies", std::move(measured)}});
    return 0;
}

} // namespace tillerhall::bench
