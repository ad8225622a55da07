/** @file Drained failure domains and cold targets.
 *
 * Guards against calls to targets of a drained domain and against calls to cold
 * targets above their rate. */
#include "mesh_system.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr int cold_per_s = 5;

std::string config_of(int version)
{
    auto config = boost::json::parse(
                      mesh_config(version, {{"fields", "/fields/", "perceel"}}))
                      .as_object();
    auto& service = config["services"].as_array()[0].as_object();
    service["coldStart"] = 3.0;
    service["coldPerS"] = cold_per_s;
    return boost::json::serialize(config);
}

/** Three failure domains with two targets of one service each. */
struct drained_system : mesh_system
{
    explicit drained_system(worker& on)
        : mesh_system(on, std::vector<std::string>(6, "perceel"))
    {
        store().put("op", "", "config", config_of(1));
        start();
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "w", "/fields/w").status == 200; }));
    }

    /** Calls through all hosts. @return the number of answers with status 200.
     */
    int call_all(const std::string& prefix, int rounds)
    {
        int good = 0;
        for (int i = 0; i < rounds; ++i)
            for (std::size_t h = 0; h < hosts().size(); ++h)
                good +=
                    call(hosts()[h],
                         prefix + std::to_string(i) + "-" + std::to_string(h),
                         "/fields/x")
                                .status == 200
                        ? 1
                        : 0;
        return good;
    }

    std::size_t runs_in(const std::string& domain, const std::string& prefix)
    {
        std::size_t runs = 0;
        for (const auto& host : hosts())
            if (host.domain == domain)
                for (const auto& each : host.target->runs())
                    runs += each.id.starts_with(prefix) ? 1 : 0;
        return runs;
    }
};

} // namespace

TEST_CASE("targets of a drained domain get no calls until the order is removed")
{
    on_worker(
        [](worker& on)
        {
            drained_system system(on);
            system.store().put("op", "", "evacuate/d1", "{}");
            // Required within 5 s; a drain takes effect like a change of
            // routes.
            sleep_for(on.io(), std::chrono::seconds(2));
            CHECK(system.call_all("a-", 8) == 48);
            CHECK(system.runs_in("d1", "a-") == 0);
            // Its nodes remain entries, and a restarted one learns of the
            // order.
            auto& host = system.hosts()[1];
            REQUIRE(host.domain == "d1");
            host.node.kill();
            system.start_node(host);
            REQUIRE(system.wait_until([&] { return system.is_ready(host); }));
            host.target->report(host.at["operators"], "ready");
            CHECK(system.call_all("b-", 4) == 24);
            CHECK(system.runs_in("d1", "b-") == 0);
            // Orders for unknown domains have no effect.
            system.store().put("op", "", "evacuate/nowhere", "no JSON");
            system.store().remove("op", "", "evacuate/d1");
            for (auto& each : system.hosts())
                each.target->report(each.at["operators"], "ready");
            CHECK(system.wait_until(
                [&]
                {
                    system.call_all("c-", 1);
                    return system.runs_in("d1", "c-") > 0;
                }));
        });
}

TEST_CASE("a domain stays drained while its readers and the store are down")
{
    on_worker(
        [](worker& on)
        {
            drained_system system(on);
            system.store().put("op", "", "evacuate/d1", "{}");
            sleep_for(on.io(), std::chrono::seconds(2));
            system.store().faults().down = true;
            system.hosts()[0].node.kill();
            system.hosts()[2].node.kill();
            system.hosts()[3].node.kill();
            for (int i = 0; i < 8; ++i)
                system.call(system.hosts()[4], "r-" + std::to_string(i),
                            "/fields/x");
            CHECK(system.runs_in("d1", "r-") == 0);
        });
}

TEST_CASE("cold targets get no more calls than their rate in any second")
{
    on_worker(
        [](worker& on)
        {
            drained_system system(on);
            for (auto& each : system.hosts())
            {
                each.target->set_cold_for(milliseconds(20'000));
                each.target->report(each.at["operators"], "ready");
            }
            sleep_for(on.io(), std::chrono::milliseconds(1'200));
            const auto begin = steady_clock::now();
            for (int i = 0;
                 steady_clock::now() < begin + std::chrono::seconds(3); ++i)
                system.call_all("c-" + std::to_string(i) + "-", 1);
            int ran = 0;
            for (const auto& host : system.hosts())
            {
                std::vector<time_point> times;
                for (const auto& each : host.target->runs())
                    if (each.begun >= begin)
                        times.push_back(each.begun);
                ran += static_cast<int>(times.size());
                for (std::size_t i = cold_per_s; i < times.size(); ++i)
                    // A little less than a second, for the transit to the
                    // target.
                    CHECK(times[i] - times[i - cold_per_s] >=
                          milliseconds(950));
            }
            CHECK(ran >= 6 * cold_per_s * 2);
            // Warm again, they take all calls.
            for (auto& each : system.hosts())
            {
                each.target->set_cold_for(milliseconds(0));
                each.target->report(each.at["operators"], "ready");
            }
            CHECK(system.call_all("w-", 10) == 60);
        });
}
