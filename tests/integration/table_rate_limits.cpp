/** @file Rate limits that targets name to the nodes that follow the table.
 *
 * Guards against calls above such a limit, with several workers as well. */
#include "calls_support.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

TEST_CASE("a table's target that names a rate limit gets no more than that")
{
    on_worker(
        [](worker& on)
        {
            constexpr std::size_t call_count = 250;
            constexpr milliseconds interval(20);
            constexpr double limit = 5;
            auto options = four_nodes();
            options.settings["node.workers"] = "2";
            started_cluster system(on, options);
            system.set_target(0, {{"rate_limit", limit}});
            unsigned good = 0;
            std::vector<worker::task> tasks;
            for (std::size_t i = 0; i < call_count; ++i)
                tasks.emplace_back(
                    [&, i]
                    {
                        sleep_for(on.io(), interval * i);
                        caller from(on.io(), system.nodes()[i % 4].caller);
                        const auto outcome =
                            from.call({"oogstbeurs", "l-" + std::to_string(i)});
                        good += outcome.is_good() ? 1 : 0;
                    });
            run_parallel(std::move(tasks));
            const auto counts =
                *system.get(system.nodes()[0].target, "/admin/stats");
            const std::chrono::duration<double> span = interval * call_count;
            CHECK(static_cast<double>(number(counts, "runs")) <=
                  1.5 * limit * span.count() + 5);
            CHECK(number(counts, "runs") > 5);
            CHECK(good == call_count);
        });
}
