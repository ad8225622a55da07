/** @file Rate limits that targets name in their responses.
 *
 * Guards against calls above the limit of a target, whichever node sends them,
 * and against refusals while other targets have room. */
#include "open_loop.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr std::chrono::seconds window(4);
// All nodes have passed on a response with a limit by then.
constexpr milliseconds settle_time(500);

/** Three nodes with targets; by default all serve the called service. */
struct three_targets : mesh_system
{
    explicit three_targets(worker& on,
                           const std::vector<std::string>& services =
                               std::vector<std::string>(3, "perceel"))
        : mesh_system(on, services)
    {
        configure(1, {{"fields", "/fields/", "perceel"}});
        start();
        for (auto& each : hosts())
            each.target->faults().work = milliseconds(20);
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&] { return call(from, "w", "/fields/w").status == 200; }));
    }

    reporting_target& target(std::size_t host) { return *hosts()[host].target; }

    /** @return the arrivals at a target from @p from on. */
    std::vector<time_point> arrivals(std::size_t host, time_point from)
    {
        std::vector<time_point> times;
        for (const auto& each : target(host).arrivals())
            if (each.at >= from)
                times.push_back(each.at);
        return times;
    }

    std::size_t max_arrivals(std::size_t host, time_point from)
    {
        return max_in_window(arrivals(host, from), window);
    }
};

/** @return the requests that a target with this limit may get in a window. */
std::size_t allowed_in_window(double per_s)
{
    constexpr double tolerated_excess = 1.5;
    constexpr double extra = 5;
    return static_cast<std::size_t>(
        tolerated_excess * per_s * static_cast<double>(window.count()) + extra);
}

} // namespace

TEST_CASE("a target that names a rate limit gets no more calls than that")
{
    on_worker(
        [](worker& on)
        {
            three_targets system(on);
            system.target(0).faults().rate_limit = "10";
            const auto named = steady_clock::now();
            open_loop load(system, {.prefix = "r-",
                                    .path = "/fields/x",
                                    .per_s = 120,
                                    .span = std::chrono::seconds(6)});
            const auto& calls = load.finish();
            CHECK(system.max_arrivals(0, named + settle_time) <=
                  allowed_in_window(10));
            // The other targets have room for all calls.
            CHECK(count_status(calls, 200) == calls.size());
        });
}

TEST_CASE("targets that all name a rate limit serve up to the sum of them")
{
    on_worker(
        [](worker& on)
        {
            three_targets system(on);
            constexpr double limit = 10;
            constexpr std::chrono::seconds span(8);
            for (std::size_t i = 0; i < 3; ++i)
                system.target(i).faults().rate_limit = "10";
            system.call(system.hosts()[0], "n", "/fields/x");
            const auto named = steady_clock::now();
            open_loop load(system, {.prefix = "a-",
                                    .path = "/fields/x",
                                    .per_s = 60,
                                    .span = span});
            const auto& calls = load.finish();
            for (std::size_t i = 0; i < 3; ++i)
                CHECK(system.max_arrivals(i, named + settle_time) <=
                      allowed_in_window(limit));
            CHECK(static_cast<double>(count_status(calls, 200)) >=
                  0.9 * 3 * limit * static_cast<double>(span.count()));
            CHECK(count_status(calls, 200) + count_status(calls, 503) ==
                  calls.size());
            for (const auto& each : calls)
            {
                if (each.answer.status != 503)
                    continue;
                CHECK(each.took < milliseconds(500));
                CHECK(std::stod(each.answer.retry_after) > 0);
            }
        });
}

TEST_CASE("a rate limit of 0 is asked about seldom and ends when it is over")
{
    on_worker(
        [](worker& on)
        {
            three_targets system(on);
            system.target(0).faults().rate_limit = "0";
            const auto named = steady_clock::now();
            open_loop load(system, {.prefix = "z-",
                                    .path = "/fields/x",
                                    .per_s = 60,
                                    .span = std::chrono::seconds(9)});
            CHECK(count_status(load.finish(), 200) == 540);
            CHECK(system.max_arrivals(0, named + settle_time) <=
                  allowed_in_window(0));
            system.target(0).faults().rate_limit.clear();
            const auto ended = steady_clock::now();
            open_loop later(system, {.prefix = "y-",
                                     .path = "/fields/x",
                                     .per_s = 60,
                                     .span = std::chrono::seconds(13)});
            later.finish();
            CHECK(system.arrivals(0, ended).size() > 60);
        });
}

TEST_CASE("a rate limit follows what its target names, also downwards")
{
    on_worker(
        [](worker& on)
        {
            three_targets system(on);
            system.target(0).faults().rate_limit = "30";
            open_loop load(system, {.prefix = "c-",
                                    .path = "/fields/x",
                                    .per_s = 120,
                                    .span = std::chrono::seconds(8)});
            sleep_for(on.io(), std::chrono::seconds(2));
            system.target(0).faults().rate_limit = "5";
            const auto lowered = steady_clock::now();
            CHECK(count_status(load.finish(), 200) == 960);
            CHECK(system.max_arrivals(0, lowered + settle_time) <=
                  allowed_in_window(5));
        });
}

TEST_CASE("a refused call may return when the first owner has room again")
{
    on_worker(
        [](worker& on)
        {
            three_targets system(on);
            system.target(0).faults().rate_limit = "0";
            system.wait_until(
                [&]
                {
                    system.call(system.hosts()[0], "n", "/fields/x");
                    return system.arrivals(0, {}).size() > 1;
                });
            for (std::size_t i = 1; i < 3; ++i)
            {
                auto& host = system.hosts()[i];
                host.target->set_slots(1);
                host.target->faults().work = milliseconds(200);
                host.target->report(host.at["operators"], "ready");
            }
            open_loop load(system, {.prefix = "f-",
                                    .path = "/fields/x",
                                    .per_s = 60,
                                    .span = std::chrono::seconds(4)});
            const auto& calls = load.finish();
            CHECK(count_status(calls, 503) > 0);
            for (const auto& each : calls)
                if (each.answer.status == 503)
                    CHECK(std::stod(each.answer.retry_after) < 1);
        });
}

TEST_CASE("a new start of a target is not held to its predecessor's limit")
{
    on_worker(
        [](worker& on)
        {
            three_targets system(on);
            system.target(0).faults().rate_limit = "0";
            open_loop load(system, {.prefix = "b-",
                                    .path = "/fields/x",
                                    .per_s = 60,
                                    .span = std::chrono::seconds(1)});
            load.finish();
            system.target(0).faults().rate_limit.clear();
            system.target(0).restart("i-new");
            auto& host = system.hosts()[0];
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            const auto restarted = steady_clock::now();
            open_loop later(system, {.prefix = "s-",
                                     .path = "/fields/x",
                                     .per_s = 60,
                                     .span = std::chrono::seconds(6)});
            later.finish();
            CHECK(system.arrivals(0, restarted).size() > 20);
        });
}

TEST_CASE("an owner that restarts keeps the rate limit that entries know")
{
    on_worker(
        [](worker& on)
        {
            three_targets system(on, {"perceel", "beurs", "beurs"});
            auto& host = system.hosts()[0];
            // The first response of the target comes after many calls.
            host.target->set_slots(40);
            host.target->report(host.at["operators"], "ready");
            host.target->faults().work = milliseconds(600);
            host.target->faults().rate_limit = "2";
            const auto named = steady_clock::now();
            open_loop load(system, {.prefix = "o-",
                                    .path = "/fields/x",
                                    .per_s = 120,
                                    .span = std::chrono::seconds(10),
                                    .entries = {1, 2}});
            sleep_for(on.io(), std::chrono::seconds(4));
            host.node.kill();
            system.start_node(host);
            REQUIRE(system.wait_until([&] { return system.is_ready(host); }));
            const auto restarted = steady_clock::now();
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            load.finish();
            CHECK(system.arrivals(0, restarted).size() >= 2);
            CHECK(system.max_arrivals(0, named + std::chrono::seconds(3)) <=
                  allowed_in_window(2));
        });
}
