/** @file Random schedules of faults with checks of the guarantees. */
#include "call_ledger.hpp"
#include "experiment.hpp"
#include "fault_schedule.hpp"
#include "invariants.hpp"

#include "tillerhall/table/csv.hpp"

#include <boost/json.hpp>

namespace tillerhall::bench
{
namespace
{

namespace json = boost::json;

constexpr int steps_per_schedule = 14;
constexpr milliseconds step_interval(700);
constexpr milliseconds check_interval(60);
constexpr milliseconds call_interval(15);
constexpr std::size_t operators = 2;

/** One schedule on one system, with operators, callers and invariant checks. */
class fault_run
{
public:
    fault_run(worker& on, std::uint64_t seed)
        : m_worker(on)
        , m_random(seed)
        , m_system(on, options())
        , m_seed(seed)
    {
    }

    result<void> start()
    {
        if (auto started = m_system.start(); !started)
            return started;
        m_table = m_system.default_table();
        const auto first = m_system.accept(0, m_table, 0, "first");
        if (!first || !first->contains("digest") ||
            !m_system.wait_for_version(1))
            return error(error_code::not_ready, "no first version");
        m_checker = std::make_unique<invariant_checker>(m_system);
        m_checker->accepted(1, first->at("digest").as_string().c_str());
        return {};
    }

    void run()
    {
        fault_schedule faults(m_system, m_seed);
        std::vector<worker::task> tasks;
        tasks.emplace_back(
            [&]
            {
                for (int i = 0; i < steps_per_schedule; ++i)
                {
                    faults.step();
                    sleep_for(m_worker.io(), step_interval);
                }
                faults.heal_all();
                m_active = false;
            });
        tasks.emplace_back([this] { monitor(); });
        for (std::size_t i = 0; i < operators; ++i)
            tasks.emplace_back([this, i] { run_operator(i); });
        for (std::size_t i = 0; i < m_system.nodes().size(); i += 2)
            tasks.emplace_back([this, i] { run_caller(i); });
        run_parallel(std::move(tasks));
        m_checker->check_final_state();
        injected = faults.injected();
        totals = m_ledger.reconcile(m_system);
    }

    const invariant_checker& checker() const { return *m_checker; }

    std::int64_t injected = 0;
    ledger_totals totals;

private:
    static harness::cluster_options options()
    {
        auto built = harness::akkerbond(9);
        built.with_faultproxy = true;
        built.settings["mesh.heartbeat_ms"] = "100";
        built.settings["mesh.suspect_ms"] = "800";
        built.settings["mesh.heartbeat_timeout_ms"] = "300";
        built.settings["distribution.poll_ms"] = "200";
        built.settings["platform.timeout_ms"] = "1000";
        built.settings["target.health_ms"] = "200";
        built.settings["log.level"] = "info";
        return built;
    }

    void monitor()
    {
        while (m_active)
        {
            m_checker->check_nodes();
            sleep_for(m_worker.io(), check_interval);
        }
    }

    /** Accepts random edits through random running nodes. */
    void run_operator(std::size_t number)
    {
        for (int i = 0; m_active; ++i)
        {
            const auto id =
                "op-" + std::to_string(number) + "-" + std::to_string(i);
            const auto node = m_random.below(m_system.nodes().size());
            if (m_system.nodes()[node].runs.is_running())
                accept_one(node, id);
            sleep_for(m_worker.io(), milliseconds(100 + m_random.below(300)));
        }
    }

    void accept_one(std::size_t node, const std::string& id)
    {
        api_client client(m_worker.io(), m_system.nodes()[node].operators);
        const auto shown =
            client.call("GET", "/v1/table", "", milliseconds(500));
        boost::system::error_code failed;
        const auto body =
            shown ? json::parse(shown->body, failed) : json::value{};
        if (!shown || failed || shown->status != 200)
            return;
        auto table = read_csv(body.at("csv").as_string().c_str()).parsed.table;
        if (table.rows().empty())
            return;
        auto changed = table.rows()[m_random.below(table.rows().size())];
        changed.weight = 1 + static_cast<std::int64_t>(m_random.below(999));
        table.put(changed);
        const auto answer = client.call(
            "POST", "/v1/accept",
            json::serialize(json::object{{"csv", write_csv(table)},
                                         {"base", body.at("version")},
                                         {"accept_id", id},
                                         {"rebase", true}}),
            std::chrono::seconds(6), m_system.token());
        const auto result =
            answer ? json::parse(answer->body, failed) : json::value{};
        if (answer && !failed && answer->status == 200)
            m_checker->accepted(result.at("version").to_number<std::uint64_t>(),
                                result.at("digest").as_string().c_str());
    }

    /** Sends non-idempotent calls through one node. */
    void run_caller(std::size_t through)
    {
        const std::vector<std::string> services{"perceel", "oogstbeurs",
                                                "schuur"};
        harness::caller from(m_worker.io(), m_system.nodes()[through].caller);
        for (int i = 0; m_active; ++i)
        {
            harness::call_request call{
                services[m_random.below(services.size())],
                "call-" + std::to_string(through) + "-" + std::to_string(i),
                "POST", "/", "x"};
            call.timeout = std::chrono::seconds(3);
            m_ledger.record(call.id, from.call(call));
            sleep_for(m_worker.io(), call_interval);
        }
    }

    worker& m_worker;
    random_source m_random;
    harness::cluster m_system;
    std::uint64_t m_seed;
    std::string m_table;
    std::unique_ptr<invariant_checker> m_checker;
    call_ledger m_ledger;
    bool m_active = true;
};

} // namespace

int run_faults(worker& on, const cxxopts::ParseResult& options)
{
    const auto seed = options["seed"].as<std::uint64_t>();
    const auto schedules = options["schedules"].as<std::size_t>();
    std::int64_t faults = 0;
    std::int64_t checks = 0;
    std::int64_t violations = 0;
    ledger_totals calls;
    std::uint64_t accepted = 0;
    for (std::size_t i = 0; i < schedules; ++i)
    {
        print_progress("schedule " + std::to_string(i + 1) + ", seed " +
                       std::to_string(seed + i));
        fault_run run(on, seed + i);
        if (const auto started = run.start(); !started)
        {
            print_progress(started.reason().message());
            return 1;
        }
        run.run();
        for (const auto& each : run.checker().violations())
            print_progress("  VIOLATION: " + each);
        faults += run.injected;
        checks += run.checker().checks() + run.totals.calls;
        violations +=
            static_cast<std::int64_t>(run.checker().violations().size()) +
            run.totals.wrong + run.totals.doubled +
            run.totals.not_run_that_ran + run.totals.good_that_did_not_run;
        accepted += run.checker().highest_accepted();
        calls.calls += run.totals.calls;
        calls.good += run.totals.good;
        calls.refused += run.totals.refused;
        calls.unknown += run.totals.unknown;
        calls.wrong += run.totals.wrong;
        calls.doubled += run.totals.doubled;
        calls.not_run_that_ran += run.totals.not_run_that_ran;
    }
    report("faults", {{"seed", seed},
                      {"schedules", schedules},
                      {"faults", faults},
                      {"checks", checks},
                      {"violations", violations},
                      {"versions", accepted},
                      {"calls", calls.calls},
                      {"calls_good", calls.good},
                      {"calls_refused", calls.refused},
                      {"calls_unknown", calls.unknown},
                      {"wrong", calls.wrong},
                      {"doubled", calls.doubled},
                      {"not_run_that_ran", calls.not_run_that_ran}});
    return violations == 0 ? 0 : 1;
}

} // namespace tillerhall::bench
