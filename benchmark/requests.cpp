/** @file Latency and processor time that the mesh adds, by policy. */
#include "experiment.hpp"
#include "load.hpp"

#include "tillerhall/routing/policy.hpp"
#include "tillerhall/table/column.hpp"
#include "tillerhall/table/csv.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>

namespace tillerhall::bench
{
namespace
{

namespace json = boost::json;

constexpr const char* service = "oogstbeurs";
constexpr std::size_t target_count = 6;
// Small targets, so that the overload does not saturate the machine itself.
constexpr std::int64_t overload_slots = 4;
constexpr std::int64_t overload_service_ms = 20;

/** @return six targets in one place and an entry node. */
harness::cluster_options six_targets(const std::string& policy)
{
    harness::cluster_options options;
    for (std::size_t i = 0; i < target_count; ++i)
        options.placements.push_back({service, "polder-a"});
    options.placements.push_back({"perceel", "polder-a"});
    options.settings = {{"routing.policy", policy},
                        {"target.slots", "12"},
                        {"log.level", "warn"},
                        {"mesh.heartbeat_ms", "200"}};
    return options;
}

/** Measures one policy. */
class policy_run
{
public:
    policy_run(worker& on,
               const cxxopts::ParseResult& options,
               std::string policy)
        : m_worker(on)
        , m_policy(std::move(policy))
        , m_rate(options["rate"].as<double>())
        , m_length(std::chrono::duration_cast<duration>(
              std::chrono::duration<double>(options["seconds"].as<double>())))
        , m_faults(options.count("faults") != 0)
        , m_system(on, six_targets(m_policy))
    {
    }

    result<json::object> run()
    {
        if (auto started = m_system.start_with_table(); !started)
            return started.reason();
        const auto table = m_system.default_table();
        // Warm-up of both paths and their connection pools.
        load(m_rate / 2, std::chrono::seconds(1), direct(), nullptr);
        load(m_rate / 2, std::chrono::seconds(1), mesh(), nullptr);
        const auto direct_result = load(m_rate, m_length, direct(), nullptr);
        call_ledger ledger;
        if (m_faults)
            m_worker.spawn([this] { inject_faults(); });
        const double entry_before = cpu_s(target_count, target_count + 1);
        const double owners_before = cpu_s(0, target_count);
        const auto through = load(m_rate, m_length, mesh(), &ledger);
        const auto calls = static_cast<double>(through->sent);
        m_entry_us = (cpu_s(target_count, target_count + 1) - entry_before) *
                     1e6 / calls;
        m_owner_us = (cpu_s(0, target_count) - owners_before) * 1e6 / calls;
        const auto totals = ledger.reconcile(m_system);
        m_system.set_target(0, {{"service_ms", 50}});
        const auto slow = load(m_rate, m_length, mesh(), nullptr);
        m_system.set_target(0, {{"service_ms", 2}});
        m_retries = retries();
        overload(table);
        return describe(*direct_result, *through, *slow, totals);
    }

private:
    std::vector<address> direct()
    {
        std::vector<address> targets;
        for (std::size_t i = 0; i < target_count; ++i)
            targets.push_back(m_system.nodes()[i].target);
        return targets;
    }

    std::vector<address> mesh()
    {
        return {m_system.nodes()[target_count].caller};
    }

    std::unique_ptr<load_result> load(double rate,
                                      duration length,
                                      std::vector<address> through,
                                      call_ledger* ledger)
    {
        const auto prefix = "load-" + std::to_string(++m_loads) + "-";
        load_plan plan;
        plan.rate = rate;
        plan.length = length;
        plan.through = std::move(through);
        plan.make = [prefix](std::size_t number)
        {
            return harness::call_request{
                service, prefix + std::to_string(number), "POST", "/", "x"};
        };
        return run_load(m_worker, plan, ledger);
    }

    /** Offers twice the capacity of the targets. */
    void overload(const std::string& csv)
    {
        std::vector<row> rows;
        const auto table = read_csv(csv).parsed.table;
        for (auto each : table.rows())
        {
            each.max_in_flight = overload_slots;
            each.queue = 2 * overload_slots;
            rows.push_back(each);
        }
        m_system.accept(0, write_csv(config_table(rows)), 1, "overload");
        m_system.wait_for_version(2);
        for (std::size_t i = 0; i < target_count; ++i)
            m_system.set_target(i, {{"service_ms", overload_service_ms}});
        constexpr double capacity = static_cast<double>(
            target_count * overload_slots * 1000 / overload_service_ms);
        const double retries_before = retries();
        const auto overload_result =
            load(2 * capacity, m_length, mesh(), nullptr);
        m_overload_goodput = static_cast<double>(overload_result->good) /
                             overload_result->seconds / capacity;
        m_overload_retries = (retries() - retries_before) /
                             static_cast<double>(overload_result->sent);
        m_overload_p99_ms = overload_result->latency(0.99);
    }

    /** Injects resets, an owner crash, a drain and refusals during the load. */
    void inject_faults()
    {
        sleep_for(m_worker.io(), m_length / 5);
        m_system.set_target(1, {{"reset_before_answer", 5}});
        sleep_for(m_worker.io(), m_length / 5);
        m_system.nodes()[2].runs.kill();
        sleep_for(m_worker.io(), m_length / 5);
        m_system.set_target(3, {{"drain", 1}});
        sleep_for(m_worker.io(), m_length / 5);
        m_system.set_target(4, {{"shed", 1}});
    }

    json::object describe(const load_result& direct_result,
                          const load_result& through,
                          const load_result& slow,
                          const ledger_totals& totals)
    {
        const auto added = [&](double share)
        { return through.latency(share) - direct_result.latency(share); };
        std::int64_t over = 0;
        std::int64_t max_running = 0;
        for (std::size_t i = 0; i < target_count; ++i)
        {
            const auto counts =
                m_system.get(m_system.nodes()[i].target, "/admin/stats");
            if (!counts)
                continue;
            over += counts->at("over_slots").to_number<std::int64_t>();
            max_running =
                std::max(max_running,
                         counts->at("most_running").to_number<std::int64_t>());
        }
        return {
            {"name", m_policy},
            {"is_default", m_policy == policies().front()->name()},
            {"direct_p50_ms", direct_result.latency(0.5)},
            {"direct_p99_ms", direct_result.latency(0.99)},
            {"added_p50_ms", added(0.5)},
            {"added_p99_ms", added(0.99)},
            {"added_p999_ms", added(0.999)},
            {"entry_cpu_us_per_call", m_entry_us},
            {"owner_cpu_us_per_call", m_owner_us},
            {"slow_target_p99_ms", slow.latency(0.99)},
            {"goodput_share", static_cast<double>(through.good) /
                                  static_cast<double>(through.sent)},
            {"refused", totals.refused},
            {"unknown", totals.unknown},
            {"retries_per_call", m_retries / static_cast<double>(through.sent)},
            {"overload_goodput_share", m_overload_goodput},
            {"overload_retries_per_call", m_overload_retries},
            {"overload_p99_ms", m_overload_p99_ms},
            {"doubled", totals.doubled},
            {"wrong", totals.wrong},
            {"not_run_that_ran", totals.not_run_that_ran},
            {"most_running", max_running},
            {"limit_exceeded", over}};
    }

    /** @return the processor time of nodes @p first up to @p last. */
    double cpu_s(std::size_t first, std::size_t last)
    {
        double sum = 0;
        for (std::size_t i = first; i < last; ++i)
            if (m_system.nodes()[i].runs.is_running())
                sum += m_system.nodes()[i].runs.usage().cpu_s;
        return sum;
    }

    double retries()
    {
        api_client client(m_worker.io(),
                          m_system.nodes()[target_count].operators);
        const auto metrics =
            client.call("GET", "/metrics", "", std::chrono::seconds(5));
        const std::string name = "tillerhall_retries_total{service=\"" +
                                 std::string(service) + "\"} ";
        const auto at = metrics ? metrics->body.find(name) : std::string::npos;
        return at == std::string::npos
                   ? 0
                   : std::stod(metrics->body.substr(at + name.size()));
    }

    worker& m_worker;
    std::string m_policy;
    double m_rate;
    duration m_length;
    bool m_faults;
    harness::cluster m_system;
    int m_loads = 0;
    double m_retries = 0;
    double m_entry_us = 0;
    double m_owner_us = 0;
    double m_overload_goodput = 0;
    double m_overload_retries = 0;
    double m_overload_p99_ms = 0;
};

} // namespace

int run_requests(worker& on, const cxxopts::ParseResult& options)
{
    const auto wanted = options["policy"].as<std::string>();
    if (wanted != "all" && !find_policy(wanted))
    {
        print_progress(find_policy(wanted).reason().message());
        return 2;
    }
    json::array measured;
    bool passed = true;
    for (const auto* each : policies())
    {
        const std::string name(each->name());
        if (wanted != "all" && wanted != name)
            continue;
        auto outcome = policy_run(on, options, name).run();
        if (!outcome)
        {
            print_progress(outcome.reason().message());
            return 1;
        }
        print_progress(json::serialize(*outcome));
        for (const auto* count : {"doubled", "wrong", "not_run_that_ran"})
            passed = passed && outcome->at(count).to_number<int>() == 0;
        measured.push_back(std::move(*outcome));
    }
    report("requests", {{"rate", options["rate"].as<double>()},
                        {"seconds", options["seconds"].as<double>()},
                        {"faults", options.count("faults") != 0},
                        {"policies", std::move(measured)}});
    return passed ? 0 : 1;
}

} // namespace tillerhall::bench
