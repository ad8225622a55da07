/** @file Calls under faults: the outcomes reported to callers compared with the
 * runs at the targets. */
#include "calls_support.hpp"

#include <csignal>
#include <set>

using namespace tillerhall;
using namespace tillerhall::harness;

TEST_CASE("a call whose connection is reset after forwarding runs once")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            for (std::size_t i = 0; i < 3; ++i)
                system.set_target(i, {{"reset_before_answer", 1}});
            caller from(on.io(), system.nodes()[3].caller);
            int unknown = 0;
            for (int i = 0; i < 20; ++i)
            {
                const auto id = "sale-" + std::to_string(i);
                const auto outcome =
                    from.call({"oogstbeurs", id, "POST", "/sell", "1"});
                if (outcome.status == 502)
                {
                    CHECK(outcome.outcome == "outcome-unknown");
                    ++unknown;
                }
                else
                    CHECK(outcome.is_good());
            }
            CHECK(unknown == 3);
            for (const auto& [id, count] : all_runs(system))
                CHECK(count == 1);
            // Repeatable calls are retried and succeed.
            for (std::size_t i = 0; i < 2; ++i)
                system.set_target(i, {{"reset_before_answer", 1}});
            for (int i = 0; i < 10; ++i)
                CHECK(from.call({"oogstbeurs", "read-" + std::to_string(i)})
                          .is_good());
        });
}

TEST_CASE("a truncated answer is never returned as complete")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            for (std::size_t i = 0; i < 3; ++i)
                system.set_target(i, {{"reset_mid_answer", 1000}});
            for (const auto* size : {"10", "300000"})
                for (std::size_t through = 0; through < 4; ++through)
                {
                    caller from(on.io(), system.nodes()[through].caller);
                    const auto outcome =
                        from.call({"oogstbeurs", "cut", "POST",
                                   std::string("/?answer_bytes=") + size, "1"});
                    CHECK_FALSE(outcome.is_good());
                    if (outcome.answered)
                        CHECK(outcome.outcome == "outcome-unknown");
                }
        });
}

TEST_CASE("a status outside the range of HTTP is no answer")
{
    // Guards against one that is passed on, or after which another is awaited.
    const auto status = GENERATE(0, 99, 600, 999);
    CAPTURE(status);
    on_worker(
        [=](worker& on)
        {
            started_cluster system(on, four_nodes());
            for (std::size_t i = 0; i < 3; ++i)
                system.set_target(i, {{"status", status}});
            for (std::size_t through = 0; through < 4; ++through)
            {
                caller from(on.io(), system.nodes()[through].caller);
                const auto outcome =
                    from.call({"oogstbeurs", "odd", "POST", "/sell", "1"});
                CHECK(outcome.status == 502);
                CHECK(outcome.outcome == "outcome-unknown");
            }
        });
}

TEST_CASE("exactly the calls that did not run are refused as not run")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            accept_with(system, 1,
                        {{"max_in_flight", "2"},
                         {"queue", "2"},
                         {"queue_wait_ms", "20"},
                         {"retry_percent", "0"}});
            for (std::size_t i = 0; i < 3; ++i)
                system.set_target(i, {{"service_ms", 30}});
            std::map<std::string, call_outcome> outcomes;
            std::vector<worker::task> calls;
            for (int i = 0; i < 200; ++i)
                calls.emplace_back(
                    [&, i]
                    {
                        const auto id = "burst-" + std::to_string(i);
                        caller from(on.io(), system.nodes()[i % 4].caller);
                        outcomes[id] =
                            from.call({"oogstbeurs", id, "POST", "/", "x"});
                    });
            run_parallel(std::move(calls));
            const auto runs = all_runs(system);
            int refused = 0;
            int good = 0;
            for (const auto& [id, outcome] : outcomes)
            {
                const auto ran = runs.contains(id) ? runs.at(id) : 0;
                if (outcome.is_good())
                {
                    ++good;
                    CHECK(outcome.id == id);
                    CHECK(ran == 1);
                }
                else
                {
                    ++refused;
                    CHECK(outcome.status == 503);
                    CHECK(outcome.outcome == "not-run");
                    CHECK(ran == 0);
                }
            }
            CHECK(refused > 0);
            CHECK(good > 0);
            for (std::size_t i = 0; i < 3; ++i)
            {
                const auto counts =
                    system.get(system.nodes()[i].target, "/admin/stats");
                REQUIRE(counts);
                CHECK(number(*counts, "most_running") <= 2);
                CHECK(number(*counts, "over_slots") == 0);
                CHECK(number(*counts, "most_open") <= 130);
            }
        });
}

TEST_CASE("a call shed with the not-run header is retried at other targets")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            system.set_target(0, {{"shed", 1}});
            caller from(on.io(), system.nodes()[3].caller);
            for (int i = 0; i < 30; ++i)
            {
                const auto outcome =
                    from.call({"oogstbeurs", "shed-" + std::to_string(i),
                               "POST", "/", "x"});
                CHECK(outcome.is_good());
                CHECK(outcome.target != system.nodes()[0].target.text());
            }
        });
}

TEST_CASE("a call is not reported as not run if an attempt may have run")
{
    on_worker(
        [](worker& on)
        {
            cluster_options options;
            for (int i = 0; i < 3; ++i)
                options.placements.push_back({"oogstbeurs", "polder-a"});
            options.placements.push_back({"perceel", "polder-a"});
            started_cluster system(on, options);
            accept_with(system, 1, {{"retry_percent", "100"}});
            system.set_target(0, {{"reset_before_answer", 1000}});
            system.set_target(1, {{"shed", 1}});
            system.set_target(2, {{"shed", 1}});
            std::map<std::string, std::string> reported;
            for (int i = 0; i < 60; ++i)
            {
                // A new connection for each call.
                const auto id = "mixed-" + std::to_string(i);
                caller from(on.io(), system.nodes()[i % 4].caller);
                reported[id] = from.call({"oogstbeurs", id}).outcome;
            }
            const auto runs = all_runs(system);
            CHECK_FALSE(runs.empty());
            for (const auto& [id, outcome] : reported)
                if (runs.contains(id))
                    CHECK(outcome == "outcome-unknown");
                else
                    CHECK(outcome == "not-run");
        });
}

TEST_CASE("neither targets nor callers can forge the mesh's header fields")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            // The target echoes no fields, so an outcome field in the answer
            // could only be the caller's own.
            caller from(on.io(), system.nodes()[3].caller);
            call_request forged{"oogstbeurs", "forged"};
            forged.fields = {{"Tillerhall-Outcome", "not-run"},
                             {"Tillerhall-Caller", "somebody"}};
            const auto outcome = from.call(forged);
            CHECK(outcome.is_good());
            CHECK(outcome.outcome.empty());
            system.set_target(0, {{"fail", 1}});
            system.set_target(1, {{"fail", 1}});
            system.set_target(2, {{"fail", 1}});
            const auto failed = from.call({"oogstbeurs", "fails"});
            CHECK(failed.status == 500);
            CHECK(failed.outcome.empty());
        });
}

TEST_CASE("an answer that comes after a timeout reaches no later call")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            caller from(on.io(), system.nodes()[3].caller);
            for (int i = 0; i < 12; ++i)
            {
                const auto id = "slow-" + std::to_string(i);
                call_request slow{"oogstbeurs", id, "POST", "/?sleep_ms=200",
                                  "x"};
                slow.fields = {{"Tillerhall-Deadline-Ms", "60"}};
                const auto late = from.call(slow);
                CHECK(late.status == 504);
                CHECK(late.outcome == "outcome-unknown");
                const auto next_id = "next-" + std::to_string(i);
                const auto next =
                    from.call({"oogstbeurs", next_id, "POST", "/", "x"});
                CHECK(next.is_good());
                CHECK(next.id == next_id);
            }
            for (const auto& [id, count] : all_runs(system))
                CHECK(count == 1);
        });
}

TEST_CASE("calls of a killed owner run at most once, with unknown outcome")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            std::vector<call_outcome> outcomes(30);
            std::vector<worker::task> tasks;
            for (std::size_t i = 0; i < outcomes.size(); ++i)
                tasks.emplace_back(
                    [&, i]
                    {
                        caller from(on.io(), system.nodes()[3].caller);
                        outcomes[i] = from.call(
                            {"oogstbeurs", "kill-" + std::to_string(i), "POST",
                             "/?sleep_ms=400", "x"});
                    });
            tasks.emplace_back(
                [&]
                {
                    sleep_for(on.io(), milliseconds(150));
                    system.nodes()[0].runs.kill();
                });
            run_parallel(std::move(tasks));
            const auto runs = all_runs(system);
            int unknown = 0;
            for (std::size_t i = 0; i < outcomes.size(); ++i)
            {
                const auto id = "kill-" + std::to_string(i);
                const auto ran = runs.contains(id) ? runs.at(id) : 0;
                CHECK(ran <= 1);
                if (outcomes[i].outcome == "outcome-unknown")
                    ++unknown;
                else if (outcomes[i].outcome == "not-run")
                    CHECK(ran == 0);
                else
                    CHECK((outcomes[i].is_good() && ran == 1));
            }
            CHECK(unknown > 0);
        });
}

TEST_CASE("targets that hang or fail behind a good health check are avoided")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            system.set_target(0, {{"fail", 1}, {"lie_healthy", 1}});
            caller from(on.io(), system.nodes()[3].caller);
            int failed = 0;
            for (int i = 0; i < 60; ++i)
                failed += from.call({"oogstbeurs", "lie-" + std::to_string(i)})
                                      .status == 500
                              ? 1
                              : 0;
            // Each place gets a third of the calls. The only target of its
            // place still gets some, so that a recovery is detected.
            CHECK(failed < 45);
            system.targets()[1].send(SIGSTOP);
            CHECK(system.wait_until(
                [&]
                { return number(system.status(3), "targets_serving") == 3; }));
            system.targets()[1].send(SIGCONT);
            CHECK(system.wait_until(
                [&]
                { return number(system.status(3), "targets_serving") == 4; }));
        });
}

TEST_CASE("smuggled, oversized and malformed requests do not run")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            const auto& entry = system.nodes()[3].caller;
            const std::string host = "Host: oogstbeurs\r\n";
            for (const auto& head :
                 {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "0\r\n\r\nGET /x HTTP/1.1\r\nHost: schuur\r\n\r\n",
                  "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                  "Transfer-Encoding: gzip\r\n\r\n", "Host: schuur\r\n\r\n",
                  "Bad Header: 1\r\n\r\n"})
                CHECK_THAT(exchange_raw(on, entry,
                                        "POST / HTTP/1.1\r\n" + host + head),
                           Catch::Contains("HTTP/1.1 400"));
            CHECK_THAT(exchange_raw(on, entry, "nonsense\r\n\r\n"),
                       Catch::Contains("HTTP/1.1 400"));
            CHECK_THAT(exchange_raw(on, entry,
                                    "GET / HTTP/1.1\r\n" + host + "X: " +
                                        std::string(40'000, 'x') + "\r\n\r\n"),
                       Catch::Contains("HTTP/1.1 431"));
            CHECK_THAT(exchange_raw(on, entry, "GET / HTTP/1.1\r\n\r\n"),
                       Catch::Contains("HTTP/1.1 400"));
            // A body with malformed chunks is never forwarded as complete.
            const auto broken = exchange_raw(
                on, entry,
                "POST / HTTP/1.1\r\n" + host +
                    "X-Request-Id: broken\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "zz\r\nabc\r\n0\r\n\r\n");
            CHECK_THAT(broken, !Catch::Contains("HTTP/1.1 200"));
            CHECK(all_runs(system).empty());
        });
}
