/** @file Targets that say in a response that they are going to stop.
 *
 * Guards against calls to such a target, also if its reports say something
 * else or the node beside it restarts. */
#include "open_loop.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr const char* path = "/fields/x";
// All calls that were under way have reached the target by then.
constexpr milliseconds settle_time(500);

struct leaving_system : mesh_system
{
    explicit leaving_system(worker& on)
        : mesh_system(on, std::vector<std::string>(3, "perceel"))
    {
        configure(1, {{"fields", "/fields/", "perceel"}});
        start();
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "w", "/fields/w").status == 200; }));
    }

    /** Calls until the first target has said that it is leaving. */
    void let_first_target_leave()
    {
        auto& target = *hosts()[0].target;
        target.faults().leaving = true;
        const auto before = target.arrivals().size();
        REQUIRE(wait_until(
            [&]
            {
                for (auto& from : hosts())
                    call(from, "l", path);
                return target.arrivals().size() > before;
            }));
    }

    std::size_t arrivals_from(time_point begin)
    {
        const auto& all = hosts()[0].target->arrivals();
        return static_cast<std::size_t>(std::ranges::count_if(
            all, [&](const target_arrival& each) { return each.at >= begin; }));
    }

    /** Calls through all nodes for @p span. @return the calls */
    std::vector<open_loop_call> load(const std::string& prefix, duration span)
    {
        open_loop calls(
            *this, {.prefix = prefix, .path = path, .per_s = 60, .span = span});
        return calls.finish();
    }
};

} // namespace

TEST_CASE("a target that says it is leaving in a response gets no more calls")
{
    on_worker(
        [](worker& on)
        {
            leaving_system system(on);
            auto& host = system.hosts()[0];
            system.let_first_target_leave();
            const auto settled = steady_clock::now() + settle_time;
            // A report that was under way, and later ones of that start.
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            const auto calls = system.load("g-", std::chrono::seconds(3));
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            const auto later = system.load("h-", std::chrono::seconds(1));
            CHECK(system.arrivals_from(settled) == 0);
            CHECK(count_status(calls, 200) == calls.size());
            CHECK(count_status(later, 200) == later.size());
        });
}

TEST_CASE("a new start at a target that left by a response gets calls")
{
    on_worker(
        [](worker& on)
        {
            leaving_system system(on);
            auto& host = system.hosts()[0];
            system.let_first_target_leave();
            host.target->faults().leaving = false;
            host.target->restart("i-next");
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            const auto restarted = steady_clock::now();
            system.load("n-", std::chrono::seconds(3));
            CHECK(system.arrivals_from(restarted) > 0);
        });
}

TEST_CASE("an owner killed after a leaving response sends nothing when it is "
          "back")
{
    on_worker(
        [](worker& on)
        {
            leaving_system system(on);
            auto& host = system.hosts()[0];
            // Nothing of the departure can reach the store.
            system.store().faults().down = true;
            system.let_first_target_leave();
            host.node.kill();
            const auto killed = steady_clock::now();
            system.store().faults().down = false;
            system.start_node(host);
            REQUIRE(system.wait_until([&] { return system.is_ready(host); }));
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            const auto calls = system.load("k-", std::chrono::seconds(3));
            CHECK(system.arrivals_from(killed) == 0);
            CHECK(count_status(calls, 200) == calls.size());
        });
}
