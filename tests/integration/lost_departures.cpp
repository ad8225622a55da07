/** @file Departures of targets whose records are lost, or that a late report
 * contradicts.
 *
 * Guards against a target that is used after its departure was acknowledged:
 * the record was kept by nodes that were all killed, or the node took an
 * earlier start of the target for the one that lives. */
#include "mesh_system.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

const std::vector<mesh_route> one_route{{"fields", "/fields/", "perceel"}};
constexpr const char* path = "/fields/x";

struct three_hosts : mesh_system
{
    explicit three_hosts(worker& on, const std::string& health_path)
        : mesh_system(on, {"perceel", "perceel", "perceel"})
    {
        configure(1, one_route, health_path);
        start();
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "warm", path).status == 200; }));
    }

    mesh_host& first() { return hosts()[0]; }

    /** Kills all nodes at once and starts them again. */
    void restart_all()
    {
        for (auto& each : hosts())
            each.node.kill();
        for (auto& each : hosts())
            start_node(each);
    }

    /** Waits until the nodes are ready, and reports all targets but the first
     * one ready. */
    void become_ready()
    {
        for (auto& each : hosts())
            REQUIRE(wait_until([&] { return is_ready(each); }));
        for (std::size_t i = 1; i < hosts().size(); ++i)
            REQUIRE(hosts()[i].target->report(hosts()[i].at["operators"],
                                              "ready") == 200);
    }

    /** Calls for two seconds. @return how many reached the first target */
    std::ptrdiff_t calls_at_first(const std::string& prefix)
    {
        const auto end = steady_clock::now() + std::chrono::seconds(2);
        for (int i = 0; steady_clock::now() < end; ++i)
        {
            auto& from = hosts()[static_cast<std::size_t>(i) % hosts().size()];
            call(from, prefix + std::to_string(i), path);
            sleep_for(on().io(), milliseconds(10));
        }
        return std::ranges::count_if(first().target->arrivals(),
                                     [&](const target_arrival& each)
                                     { return each.id.starts_with(prefix); });
    }
};

} // namespace

TEST_CASE("a departure acknowledged in an outage holds after a loss of all "
          "nodes")
{
    on_worker(
        [](worker& on)
        {
            three_hosts system(on, "/health");
            auto& host = system.first();
            system.store().faults().down = true;
            REQUIRE(host.target->leave(host.at["operators"]) == 200);
            system.restart_all();
            system.store().faults().down = false;
            system.become_ready();
            // A report from before the departure, late on its way.
            host.target->report(host.at["operators"], "ready", 2);
            CHECK(system.calls_at_first("late-") == 0);
            // A later start at the same node gets calls.
            host.target->restart("i-next");
            host.target->report(host.at["operators"], "ready");
            CHECK(system.calls_at_first("next-") > 0);
        });
}

TEST_CASE("without a health check only the store keeps a departure")
{
    on_worker(
        [](worker& on)
        {
            three_hosts system(on, "");
            auto& host = system.first();
            system.store().faults().down = true;
            CHECK(host.target->leave(host.at["operators"]) == 503);
            CHECK(system.calls_at_first("left-") == 0);
            system.store().faults().down = false;
            CHECK(system.wait_until(
                [&]
                { return host.target->leave(host.at["operators"]) == 200; }));
            system.restart_all();
            system.become_ready();
            host.target->report(host.at["operators"], "ready", 2);
            CHECK(system.calls_at_first("late-") == 0);
        });
}

TEST_CASE("a target that drains gets no calls though a late report of its "
          "earlier start came before")
{
    // The later start could not report for a while, or its node was killed.
    const bool is_node_killed = GENERATE(false, true);
    CAPTURE(is_node_killed);
    on_worker(
        [=](worker& on)
        {
            three_hosts system(on, "/health");
            auto& host = system.first();
            auto& target = *host.target;
            const auto report = [&](std::uint64_t started_ms,
                                    const std::string& state,
                                    std::uint64_t sequence)
            {
                target.set_start_time_ms(started_ms);
                return target.report(host.at["operators"], state, sequence);
            };
            REQUIRE(report(1'000'000, "ready", 1) == 200);
            target.crash();
            target.restart(target.id());
            REQUIRE(report(2'000'000, "ready", 1) == 200);
            if (is_node_killed)
            {
                host.node.kill();
                system.start_node(host);
                REQUIRE(
                    system.wait_until([&] { return system.is_ready(host); }));
            }
            else
                sleep_for(on.io(), milliseconds(5'500));
            report(1'000'000, "ready", 2);
            CHECK(system.calls_at_first("used-") > 0);
            CHECK(report(2'000'000, "draining", 2) == 200);
            CHECK(system.calls_at_first("drained-") == 0);
            CHECK(report(2'000'000, "draining", 3) == 200);
            CHECK(system.calls_at_first("still-drained-") == 0);
        });
}

TEST_CASE("a target is used soon after a restart of its node")
{
    // It says that it is healthy, or it has no health check.
    const std::string health_path = GENERATE("/health", "");
    CAPTURE(health_path);
    on_worker(
        [=](worker& on)
        {
            three_hosts system(on, health_path);
            system.restart_all();
            system.become_ready();
            auto& host = system.first();
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            CHECK(system.calls_at_first("again-") > 0);
        });
}
