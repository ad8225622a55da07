/** @file Loads that targets report in their responses.
 *
 * Guards against an owner that fills the slots of its target twice after a
 * restart, against calls that hold a slot until their deadline though the
 * target does not have them, and against calling such a call not run. */
#include "open_loop.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

/** A target, its owner, and a second host by which calls enter. */
struct one_target : mesh_system
{
    static constexpr std::int64_t slots = 8;

    /** @param link_bytes_per_s of the link to the target; 0: unlimited */
    explicit one_target(worker& on, double link_bytes_per_s = 0)
        : mesh_system(on, {"perceel", "beurs"})
    {
        if (link_bytes_per_s > 0)
        {
            auto& link = keep_for_fibers(
                std::make_shared<paced_link>(on, target().where()));
            link.set_bytes_per_s(link_bytes_per_s);
            target().set_reported_address(link.where());
        }
        configure(1,
                  {{"fields", "/fields/", "perceel"},
                   {"once", "/once/", "perceel", "unsafe"}},
                  "/health");
        target().set_slots(slots);
        target().faults().reports_load = true;
        start();
        REQUIRE(wait_until(
            [&] { return call(hosts()[1], "w", "/fields/w").status == 200; }));
    }

    reporting_target& target() { return *hosts()[0].target; }

    open_loop_plan plan(std::string prefix, double per_s, duration span) const
    {
        return {std::move(prefix), "/fields/x", per_s, span, {1}};
    }

    /** @return the most runs at once from @p from on. */
    std::ptrdiff_t most_running(time_point from)
    {
        const auto& runs = target().runs();
        std::ptrdiff_t most = 0;
        for (const auto& at : runs)
            if (at.begun >= from)
                most = std::max(most, running_at(at.begun));
        return most;
    }

    std::ptrdiff_t running_at(time_point at)
    {
        return std::ranges::count_if(target().runs(),
                                     [&](const target_run& each)
                                     {
                                         return each.begun <= at &&
                                                (each.ended == time_point{} ||
                                                 each.ended > at);
                                     });
    }

    /** @return when the first run after @p from has ended. */
    time_point first_answer(time_point from)
    {
        auto first = time_point::max();
        for (const auto& each : target().runs())
            if (each.begun >= from && each.ended != time_point{})
                first = std::min(first, each.ended);
        return first;
    }
};

} // namespace

TEST_CASE("an owner killed under full load does not fill its target twice")
{
    on_worker(
        [](worker& on)
        {
            one_target system(on);
            auto& host = system.hosts()[0];
            system.target().faults().work = milliseconds(2'200);
            // As many calls as there are slots, and no more: calls that time
            // out would leave further runs.
            open_loop filling(system, system.plan("f-", 80, milliseconds(100)));
            REQUIRE(system.wait_until(
                [&] {
                    return system.running_at(steady_clock::now()) ==
                           one_target::slots;
                }));
            host.node.kill();
            const auto killed = steady_clock::now();
            // The runs under way go on; later ones are short.
            system.target().faults().work = milliseconds(300);
            system.start_node(host);
            REQUIRE(system.wait_until([&] { return system.is_ready(host); }));
            REQUIRE(host.target->report(host.at["operators"], "ready") == 200);
            const auto left = system.running_at(steady_clock::now());
            open_loop after(system,
                            system.plan("a-", 60, std::chrono::seconds(4)));
            after.finish();
            filling.finish();
            const auto answered = system.first_answer(killed);
            INFO("runs left at the restart: " << left);
            CHECK(left >= one_target::slots / 2);
            CHECK(system.most_running(killed) <= one_target::slots + 1);
            CHECK(system.most_running(answered) <= one_target::slots);
            // It uses all of its slots when the earlier runs have ended.
            CHECK(system.most_running(answered) == one_target::slots);
        });
}

TEST_CASE("a call that its target leaves unanswered ends long before its "
          "deadline")
{
    // Targets may count the run that they answer as running.
    const bool includes_run = GENERATE(false, true);
    CAPTURE(includes_run);
    on_worker(
        [=](worker& on)
        {
            one_target system(on);
            auto& target = system.target();
            target.faults().load_includes_run = includes_run;
            target.faults().work = milliseconds(50);
            for (int i = 0; i < 40; ++i)
                system.call(system.hosts()[1], "l-" + std::to_string(i),
                            i % 2 == 0 ? "/fields/x" : "/once/x");
            const auto count = [&]
            {
                const auto text = system.metrics_of(system.hosts()[0]);
                const std::string name = "\ntillerhall_unanswered_calls_total ";
                const auto at = text.find(name);
                return at == std::string::npos
                           ? 0
                           : std::stoi(text.substr(at + name.size()));
            };
            // Alone, and among calls that are answered.
            for (const bool is_alone : {true, false})
            {
                const std::string id = is_alone ? "alone" : "among";
                const auto before = count();
                target.faults().unanswered = 1;
                const auto begin = steady_clock::now();
                seen_answer lost;
                std::vector<worker::task> tasks;
                tasks.emplace_back(
                    [&]
                    {
                        lost = system.call(system.hosts()[1], id, "/once/x");
                        CHECK(steady_clock::now() - begin < milliseconds(800));
                    });
                if (!is_alone)
                    tasks.emplace_back(
                        [&]
                        {
                            sleep_for(on.io(), milliseconds(20));
                            open_loop others(
                                system,
                                system.plan("o-", 40, std::chrono::seconds(1)));
                            CHECK(count_status(others.finish(), 200) == 40);
                        });
                run_parallel(std::move(tasks));
                // It may have run: 503 would say that it did not.
                CHECK(lost.status == 502);
                CHECK(system.runs_of(id) == 0);
                CHECK(count() == before + 1);
            }
        });
}

TEST_CASE("calls that run for long are not taken for unanswered ones")
{
    on_worker(
        [](worker& on)
        {
            one_target system(on);
            system.target().faults().work = milliseconds(20);
            for (int i = 0; i < 20; ++i)
                system.call(system.hosts()[1], "l-" + std::to_string(i),
                            "/fields/x");
            system.target().faults().work = milliseconds(800);
            open_loop load(system,
                           system.plan("s-", 6, std::chrono::seconds(1)));
            CHECK(count_status(load.finish(), 200) == 6);
            CHECK(system.metrics_of(system.hosts()[0])
                      .find("tillerhall_unanswered_calls_total") ==
                  std::string::npos);
        });
}

// Guards against a running call that is given up, because a late copy of an
// earlier response, which reports an idle target, answers a health check.
TEST_CASE("a late copy of a response does not answer a health check")
{
    on_worker(
        [](worker& on)
        {
            one_target system(on);
            auto& from = system.hosts()[1];
            auto& faults = system.target().faults();
            faults.work = milliseconds(20);
            for (int i = 0; i < 20; ++i)
                system.call(from, "l-" + std::to_string(i), "/fields/x");
            faults.late_copies = 12;
            // One id is sent on as many connections.
            for (unsigned i = 0; i < 12; ++i)
                system.call(from, "copied", "/fields/x");
            faults.late_copies = 0;
            faults.work = milliseconds(1'500);
            CHECK(system.call(from, "long", "/once/x").status == 200);
            CHECK(system.runs_of("long") == 1);
        });
}

TEST_CASE("a call is not given up while answers of others are under way")
{
    on_worker(
        [](worker& on)
        {
            one_target system(on, 1'000'000);
            auto& faults = system.target().faults();
            faults.work = milliseconds(20);
            for (int i = 0; i < 20; ++i)
                system.call(system.hosts()[1], "l-" + std::to_string(i),
                            i % 2 == 0 ? "/fields/x" : "/once/x");
            // It begins before the others and runs until after them.
            faults.work = milliseconds(1'800);
            seen_answer longest;
            run_parallel(
                {[&] {
                     longest =
                         system.call(system.hosts()[1], "long", "/once/x");
                 },
                 [&]
                 {
                     REQUIRE(system.wait_until(
                         [&] { return system.runs_of("long") == 1; }));
                     faults.work = milliseconds(20);
                     faults.body_bytes = 100'000;
                     // They need more than the link carries.
                     open_loop others(
                         system, system.plan("o-", 12, milliseconds(1'400)));
                     others.finish();
                 }});
            CHECK(longest.status == 200);
            CHECK(system.metrics_of(system.hosts()[0])
                      .find("tillerhall_unanswered_calls_total") ==
                  std::string::npos);
        });
}
