/**
 * @file Poison calls: each target that runs one crashes.
 *
 * Guards against retries that take the crash for a lost answer and carry the
 * call to target after target, through other entries as well, until no target
 * of the service is left; and again as soon as the targets have restarted.
 */
#include "crashing_system.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

/** @return the runs later than `propagation_limit` after the third one. */
long late_sends(const std::vector<time_point>& send_times)
{
    if (send_times.size() < 3)
        return 0;
    const auto after = send_times[2] + propagation_limit;
    return std::ranges::count_if(send_times,
                                 [&](time_point at) { return at > after; });
}

} // namespace

TEST_CASE("a call that crashed three targets is not sent to more")
{
    on_worker(
        [](worker& on)
        {
            crashing_system system(on);
            system.send_concurrently(20);
            system.send_repeatedly(std::chrono::seconds(9));
            CHECK(late_sends(system.send_times()) <= max_late_sends);
            // At most each target once at first, and once after its restart.
            CHECK(system.crash_count() <= 2 * target_count);
            CHECK(system.all_targets_serve());
        });
}

TEST_CASE("a client's retries of a poison call crash at most two targets")
{
    on_worker(
        [](worker& on)
        {
            crashing_system system(on);
            system.send_repeatedly(std::chrono::seconds(5));
            CHECK(system.crash_count() <= 2);
            CHECK(system.served_share(60, "beside") > 0.98);
        });
}

TEST_CASE("poison calls stay known after all nodes were killed")
{
    on_worker(
        [](worker& on)
        {
            crashing_system system(on);
            system.send_repeatedly(std::chrono::seconds(2));
            const auto before = system.send_times().size();
            sleep_for(on.io(), milliseconds(500));
            for (auto& each : system.hosts())
                each.node.kill();
            for (auto& each : system.hosts())
                system.start_node(each);
            for (auto& each : system.hosts())
            {
                REQUIRE(
                    system.wait_until([&] { return system.is_ready(each); }));
                each.target->report(each.at["operators"], "ready");
            }
            REQUIRE(system.wait_until(
                [&] { return system.served_share(6, "again") == 1; }));
            system.send_repeatedly(std::chrono::seconds(2));
            CHECK(system.send_times().size() == before);
        });
}

TEST_CASE("a poison call becomes known to all nodes without the store")
{
    on_worker(
        [](worker& on)
        {
            crashing_system system(on);
            system.store().faults().down = true;
            system.send_repeatedly(std::chrono::seconds(4));
            CHECK(system.crash_count() <= 2);
            system.store().faults().down = false;
        });
}

TEST_CASE("a frequent call is not quarantined for crashes of a poison call")
{
    on_worker(
        [](worker& on)
        {
            crashing_system system(on);
            const auto is_stopped = std::make_shared<bool>(false);
            const auto ended = std::make_shared<int>(0);
            for (std::size_t i = 0; i < system.hosts().size(); ++i)
                on.spawn(
                    [&system, is_stopped, ended, i]
                    {
                        for (int n = 0; !*is_stopped; ++n)
                            system.call(system.hosts()[i],
                                        "many-" + std::to_string(i) + "-" +
                                            std::to_string(n),
                                        "/fields/front-page");
                        ++*ended;
                    });
            sleep_for(on.io(), milliseconds(500));
            system.send_concurrently(6);
            system.send_repeatedly(std::chrono::seconds(3));
            *is_stopped = true;
            REQUIRE(system.wait_until([&] { return *ended == 6; }));
            // If all targets crash at once the frequent call may be
            // quarantined; then a probe after five seconds clears it.
            for (auto& each : system.hosts())
                CHECK(system.wait_until(
                    [&] {
                        return system
                                   .call(each, "many-last",
                                         "/fields/front-page")
                                   .status == 200;
                    },
                    std::chrono::seconds(8)));
            CHECK(system.crash_count() <= target_count);
        });
}

TEST_CASE("a call that lost its connection twice is not quarantined")
{
    on_worker(
        [](worker& on)
        {
            crashing_system system(on);
            for (auto& each : system.hosts())
                each.target->faults().reset_answers = 1;
            for (int i = 0; i < 3; ++i)
                system.call(system.hosts()[4], "lost-" + std::to_string(i),
                            "/fields/lost");
            CHECK(system.crash_count() == 0);
            CHECK(system.wait_until(
                [&]
                {
                    return system
                               .call(system.hosts()[5], "lost-again",
                                     "/fields/lost")
                               .status == 200;
                },
                std::chrono::seconds(2)));
        });
}
