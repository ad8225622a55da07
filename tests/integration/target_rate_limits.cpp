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

/** Three targets of one service, each beside a node. */
struct three_targets : mesh_system
{
    explicit three_targets(worker& on)
        : mesh_system(on, std::vector<std::string>(3, "perceel"))
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

    std::size_t max_arrivals(std::size_t host, time_point from)
    {
        std::vector<time_point> times;
        for (const auto& each : target(host).arrivals())
            if (each.at >= from)
                times.push_back(each.at);
        return max_in_window(times, window);
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
