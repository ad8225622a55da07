/** @file Tests of roll-outs through real nodes: bad releases are rolled back
 * within their exposure, good ones are completed, also with faults. */
#include "mesh_system.hpp"

#include <algorithm>
#include <future>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::size_t old_targets = 4;
constexpr std::size_t new_targets = 4;
constexpr int order_s = 20;
// Calls that a release may get before it is shown non-inferior: a tenth plus
// fifty calls. Once it is rolled back it must get none.
constexpr double exposure = 0.1;
constexpr std::size_t tolerance = 50;

/** @param entries number of hosts that only take calls, with targets of another
 * service */
std::vector<std::string> services(std::size_t entries)
{
    std::vector<std::string> all(old_targets + new_targets, "perceel");
    all.resize(all.size() + entries, "beurs");
    return all;
}

/** Targets of the old release, hosts for the new one, and entries for calls.
 */
struct rollout_system : mesh_system
{
    explicit rollout_system(worker& on,
                            const std::string& more_settings = {},
                            std::size_t entries = 1)
        : mesh_system(on, services(entries), more_settings)
    {
        configure(1, {{"fields", "/fields/", "perceel", "safe", 2000, 2},
                      {"sales", "/sales/", "perceel", "unsafe", 2000, 2}});
        for (std::size_t i = 0; i < hosts().size(); ++i)
            start_node(hosts()[i]);
        for (std::size_t i = 0; i < old_targets; ++i)
            old_hosts.push_back(&hosts()[i]);
        for (std::size_t i = 0; i < new_targets; ++i)
            new_hosts.push_back(&hosts()[old_targets + i]);
        for (auto& each : hosts())
            REQUIRE(wait_until([&] { return is_ready(each); }));
        for (auto* each : old_hosts)
            report(*each);
        report(hosts().back());
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "w", "/fields/w").status == 200; }));
        on.spawn([this, is_over = m_is_over] { report_periodically(is_over); });
    }

    ~rollout_system() { *m_is_over = true; }

    void report(mesh_host& host)
    {
        host.target->report(host.at["operators"], "ready");
        m_reporting.insert(&host);
    }

    void report_periodically(const std::shared_ptr<bool>& is_over)
    {
        while (!*is_over)
        {
            for (auto* each : std::set<mesh_host*>(m_reporting))
                if (!*is_over && !each->target->has_crashed())
                    each->target->report(each->at["operators"], "ready");
            sleep_for(on().io(), milliseconds(300));
        }
    }

    void start_release(const std::string& release,
                       const target_faults& faults = {})
    {
        for (auto* each : new_hosts)
        {
            each->target->set_release(release);
            each->target->faults() = faults;
            report(*each);
        }
    }

    void order(const std::string& release, int seconds = order_s)
    {
        ordered = steady_clock::now();
        store().put("op", "", "rollout/perceel",
                    boost::json::serialize(
                        boost::json::object{{"service", "perceel"},
                                            {"targetVersion", release},
                                            {"duration", seconds}}));
    }

    /** @return the stored state of the release; empty if there is none. */
    std::string state_of(const std::string& release)
    {
        const auto rows = store().values("status");
        const auto found = rows.find("rollout/perceel");
        if (found == rows.end())
            return "";
        const auto status = boost::json::parse(found->second).as_object();
        return status.at("targetVersion").as_string() == release
                   ? std::string(status.at("state").as_string())
                   : "";
    }

    /** Clients call through all hosts until @p span is over or @p done returns
     * true. */
    void run_load(duration span, const std::function<bool()>& done)
    {
        const auto until = steady_clock::now() + span;
        const auto running = std::make_shared<int>(clients);
        for (int i = 0; i < clients; ++i)
            on().spawn(
                [this, i, until, running, done]
                {
                    while (steady_clock::now() < until && !done())
                        call_once(i);
                    --*running;
                });
        while (*running > 0)
            sleep_for(on().io(), milliseconds(20));
    }

    void call_once(int client)
    {
        auto& from =
            hosts()[static_cast<std::size_t>(m_calls) % hosts().size()];
        const auto id = "c-" + std::to_string(++m_calls);
        const bool is_sale = m_calls % 3 == 0;
        const auto answer = call(from, id, is_sale ? "/sales/x" : "/fields/x",
                                 is_sale ? std::string("x") : std::string());
        ++(answer.status == 200 ? good : bad);
        sleep_for(on().io(), milliseconds(10 + client % 3));
    }

    std::size_t runs_at(const std::vector<mesh_host*>& selected) const
    {
        std::size_t runs = 0;
        for (const auto* each : selected)
            runs += each->target->runs().size();
        return runs;
    }

    /** @return whether the new release got no more calls than its exposure
     * allows. */
    bool within_exposure() const
    {
        const auto new_runs = runs_at(new_hosts);
        const auto all = new_runs + runs_at(old_hosts);
        return static_cast<double>(new_runs) <=
               exposure * static_cast<double>(all) + tolerance;
    }

    /** Runs load for a while.
     * @return whether the new release got no calls. */
    bool stays_closed()
    {
        const auto before = runs_at(new_hosts);
        run_load(std::chrono::seconds(2), [] { return false; });
        return runs_at(new_hosts) == before;
    }

    /** Runs load until the stored state of the release is @p state.
     * @param within time since the order
     * @return whether it is. */
    bool reaches_state(const std::string& release,
                       const std::string& state,
                       duration within = std::chrono::seconds(order_s))
    {
        run_load(ordered + within - steady_clock::now(),
                 [&] { return state_of(release) == state; });
        return state_of(release) == state;
    }

    static constexpr int clients = 8;
    std::vector<mesh_host*> old_hosts;
    std::vector<mesh_host*> new_hosts;
    time_point ordered{};
    int good = 0;
    int bad = 0;

private:
    std::set<mesh_host*> m_reporting;
    std::shared_ptr<bool> m_is_over = std::make_shared<bool>(false);
    int m_calls = 0;
};

target_faults failing(double share)
{
    target_faults faults;
    faults.failing = share;
    return faults;
}

} // namespace

TEST_CASE("a release that fails is rolled back within its exposure")
{
    on_worker(
        [](worker& on)
        {
            rollout_system system(on);
            system.order("v2");
            system.start_release("v2", failing(0.4));
            CHECK(system.reaches_state("v2", "rolled_back"));
            CHECK(system.within_exposure());
            CHECK(system.stays_closed());
        });
}

TEST_CASE(
    "releases bad in one class, later, slower or under load are rolled back")
{
    auto one_class = failing(0.5);
    one_class.failing_prefix = "/sales/";
    auto later = failing(0.5);
    later.failing_from = steady_clock::now() + std::chrono::seconds(7);
    target_faults slow;
    slow.work = milliseconds(60);
    auto under_load = failing(0.6);
    under_load.failing_concurrency = 2;
    under_load.work = milliseconds(20);
    struct bad_release
    {
        const char* name;
        target_faults faults;
    };
    for (const auto& each :
         {bad_release{"one class", one_class}, bad_release{"later", later},
          bad_release{"slow", slow}, bad_release{"under load", under_load}})
    {
        on_worker(
            [&](worker& on)
            {
                INFO(each.name);
                rollout_system system(on);
                system.order("v2");
                auto faults = each.faults;
                if (faults.failing_from != time_point{})
                    faults.failing_from =
                        steady_clock::now() + std::chrono::seconds(3);
                system.start_release("v2", faults);
                CHECK(system.reaches_state("v2", "rolled_back"));
                CHECK(system.within_exposure());
                CHECK(system.stays_closed());
            });
    }
}

TEST_CASE("a good release is completed in time without failed calls")
{
    on_worker(
        [](worker& on)
        {
            rollout_system system(on);
            system.order("v2");
            system.start_release("v2");
            CHECK(system.reaches_state("v2", "completed"));
            CHECK(system.bad == 0);
            // The old targets stop without notice.
            for (auto* each : system.old_hosts)
                each->target->crash();
            const auto before = system.runs_at(system.old_hosts);
            system.run_load(std::chrono::seconds(2), [] { return false; });
            CHECK(system.bad == 0);
            CHECK(system.runs_at(system.old_hosts) == before);
        });
}

TEST_CASE("targets of a new release without an order stay within the exposure")
{
    on_worker(
        [](worker& on)
        {
            rollout_system system(on);
            system.start_release("v2", failing(0.5));
            system.run_load(std::chrono::seconds(4), [] { return false; });
            CHECK(system.within_exposure());
            system.order("v2");
            CHECK(system.reaches_state("v2", "rolled_back"));
            CHECK(system.within_exposure());
        });
}

TEST_CASE("orders and outcomes survive a crash of all nodes")
{
    on_worker(
        [](worker& on)
        {
            rollout_system system(on);
            const auto restart_all = [&]
            {
                for (auto& each : system.hosts())
                    each.node.kill();
                for (auto& each : system.hosts())
                    system.start_node(each);
                for (auto& each : system.hosts())
                    REQUIRE(system.wait_until(
                        [&] { return system.is_ready(each); }));
            };
            system.order("v2");
            system.start_release("v2", failing(0.4));
            system.run_load(milliseconds(700), [] { return false; });
            restart_all();
            CHECK(system.reaches_state("v2", "rolled_back"));
            CHECK(system.within_exposure());
            restart_all();
            CHECK(system.stays_closed());
            CHECK(system.state_of("v2") == "rolled_back");
        });
}

TEST_CASE("a good release is completed after a crash of all nodes")
{
    on_worker(
        [](worker& on)
        {
            rollout_system system(on);
            system.order("v2");
            system.start_release("v2");
            system.run_load(std::chrono::seconds(4), [] { return false; });
            for (auto& each : system.hosts())
                each.node.kill();
            for (auto& each : system.hosts())
                system.start_node(each);
            CHECK(system.reaches_state("v2", "completed"));
        });
}

TEST_CASE("an outcome holds while the store is down, and is written later")
{
    on_worker(
        [](worker& on)
        {
            rollout_system system(on);
            system.order("v2");
            REQUIRE(system.wait_until(
                [&] { return system.state_of("v2") == "running"; }));
            system.store().faults().down = true;
            system.start_release("v2", failing(0.5));
            system.run_load(std::chrono::seconds(5), [] { return false; });
            CHECK(system.within_exposure());
            CHECK(system.stays_closed());
            CHECK(system.state_of("v2") == "running");
            system.store().faults().down = false;
            CHECK(system.reaches_state("v2", "rolled_back",
                                       std::chrono::seconds(2 * order_s)));
        });
}

TEST_CASE("only few nodes try to write an outcome while the store is down")
{
    on_worker(
        [](worker& on)
        {
            // More hosts than may write for their domains.
            rollout_system system(on, "", 5);
            system.order("v2");
            REQUIRE(system.wait_until(
                [&] { return system.state_of("v2") == "running"; }));
            // All nodes read the order when they start.
            for (auto& each : system.hosts())
                each.node.kill();
            for (auto& each : system.hosts())
                system.start_node(each);
            for (auto& each : system.hosts())
                REQUIRE(
                    system.wait_until([&] { return system.is_ready(each); }));
            system.run_load(std::chrono::seconds(1), [] { return false; });
            system.store().faults().down = true;
            system.start_release("v2", failing(0.6));
            system.run_load(std::chrono::seconds(3), [] { return false; });
            // Writes name their table in the body.
            const auto before = system.store().calls_on("");
            constexpr int span_s = 4;
            system.run_load(std::chrono::seconds(span_s), [] { return false; });
            const auto calls = system.store().calls_on("") - before;
            CHECK(calls > 0);
            // Three nodes in each of three domains, each every 0.3 s.
            constexpr unsigned writers = 9;
            CHECK(calls <= writers * (span_s * 10 / 3 + 1));
        });
}

TEST_CASE("a newer order replaces another; a rolled back release stays closed",
          "[.][newer-order]")
{
    on_worker(
        [](worker& on)
        {
            rollout_system system(on);
            system.order("v2");
            system.start_release("v2", failing(0.5));
            REQUIRE(system.reaches_state("v2", "rolled_back"));
            system.order("v3");
            CHECK(system.stays_closed()); // its targets still have v2
            for (auto* each : system.new_hosts)
                each->target->restart(each->target->id() + "-v3");
            system.start_release("v3");
            CHECK(system.reaches_state("v3", "completed"));
        });
}

TEST_CASE("orders that cannot be executed affect nothing else")
{
    on_worker(
        [](worker& on)
        {
            rollout_system system(on);
            auto& store = system.store();
            store.put("op", "", "rollout/nobody",
                      R"({"service":"nobody","targetVersion":"v2",)"
                      R"("duration":3})");
            store.put("op", "", "rollout/beurs", "{\"service\":7}");
            store.put("op", "", "rollout/odd", std::string("\xff\x00{", 3));
            system.order("v9", 4); // no target has it
            CHECK(system.reaches_state("v9", "rolled_back"));
            CHECK(system.bad == 0);
            CHECK(system.within_exposure());
        });
}

TEST_CASE("operators start, list and abort a roll-out through any node")
{
    on_worker(
        [](worker& on)
        {
            std::string token_file =
                std::filesystem::temp_directory_path() / "tillerhall-XXXXXX";
            ::close(::mkstemp(token_file.data()));
            std::ofstream(token_file) << "secret\n";
            rollout_system system(
                on, "operators:\n  token_file: " + token_file + "\n");
            const auto run_tiller =
                [&](std::vector<std::string> arguments, bool with_token = true)
            {
                arguments.insert(arguments.begin(),
                                 {program_folder() + "/tiller", "rollout"});
                arguments.insert(
                    arguments.end(),
                    {"--node", system.hosts()[3].at["operators"].text()});
                if (with_token)
                    arguments.insert(arguments.end(),
                                     {"--token-file", token_file});
                // The store runs on this thread, so the program runs on
                // another.
                auto result = std::async(std::launch::async, [arguments]
                                         { return run(arguments); });
                while (result.wait_for(milliseconds(0)) !=
                       std::future_status::ready)
                    sleep_for(on.io(), milliseconds(10));
                return result.get();
            };
            CHECK(run_tiller({}).out.find("no roll-out") != std::string::npos);
            CHECK(run_tiller({"start", "perceel", "v2"}, false).code == 1);
            CHECK(
                run_tiller({"start", "perceel", "v2", "--timeout", "1"}).code ==
                1);
            CHECK(run_tiller({"dance"}).code == 2);
            CHECK(run_tiller({"abort", "perceel"}).code == 1);
            CHECK(system.state_of("v2").empty());

            system.ordered = steady_clock::now();
            CHECK(run_tiller({"start", "perceel", "v2", "--timeout", "30"})
                      .code == 0);
            system.start_release("v2");
            system.run_load(std::chrono::seconds(2), [] { return false; });
            const auto listed = run_tiller({"list"}).out;
            CHECK(listed.find("perceel: v1 -> v2  running") !=
                  std::string::npos);
            CHECK(listed.find("failed") !=
                  std::string::npos); // part of the evidence
            CHECK(run_tiller({"abort", "perceel"}).code == 0);
            REQUIRE(system.wait_until(
                [&] { return system.state_of("v1") == "completed"; }));
            CHECK(system.stays_closed());
            std::filesystem::remove(token_file);
        });
}
