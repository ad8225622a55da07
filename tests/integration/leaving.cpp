/** @file Calls while a caller, node, target or the platform goes away, and
 * calls with slow callers or large bodies. */
#include "calls_support.hpp"

#include <csignal>
#include <set>

using namespace tillerhall;
using namespace tillerhall::harness;

TEST_CASE("a caller's disconnect cancels the run at the target")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            caller from(on.io(), system.nodes()[3].caller);
            call_request quits{"oogstbeurs", "quits", "POST", "/?sleep_ms=3000",
                               "x"};
            quits.timeout = milliseconds(200);
            CHECK_FALSE(from.call(quits).answered);
            const auto cancelled = [&]
            {
                std::int64_t sum = 0;
                for (std::size_t i = 0; i < 3; ++i)
                    sum += number(
                        *system.get(system.nodes()[i].target, "/admin/stats"),
                        "cancelled");
                return sum;
            };
            CHECK(system.wait_until([&] { return cancelled() == 1; },
                                    std::chrono::seconds(2)));
        });
}

TEST_CASE("a planned stop finishes all calls in flight and exits 0")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            std::vector<call_outcome> outcomes(24);
            std::vector<worker::task> tasks;
            for (std::size_t i = 0; i < outcomes.size(); ++i)
                tasks.emplace_back(
                    [&, i]
                    {
                        // Every fourth uses the node that stops as its entry.
                        caller from(on.io(), system.nodes()[i % 4].caller);
                        outcomes[i] = from.call(
                            {"oogstbeurs", "stop-" + std::to_string(i), "POST",
                             "/?sleep_ms=500", std::string(200'000, 'x')});
                    });
            int code = -1;
            tasks.emplace_back(
                [&]
                {
                    sleep_for(on.io(), milliseconds(200));
                    system.nodes()[1].runs.send(SIGTERM);
                    CHECK(system.wait_until(
                        [&] { return !system.nodes()[1].runs.is_running(); }));
                    code = system.nodes()[1].runs.wait();
                });
            run_parallel(std::move(tasks));
            CHECK(code == 0);
            for (const auto& outcome : outcomes)
                CHECK(outcome.is_good());
            // The stopped node's target gets no new calls.
            caller from(on.io(), system.nodes()[3].caller);
            for (int i = 0; i < 20; ++i)
                CHECK(from.call({"oogstbeurs", "later"}).target !=
                      system.nodes()[1].target.text());
        });
}

TEST_CASE("a draining target gets no new calls and finishes running ones")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            caller from(on.io(), system.nodes()[3].caller);
            call_outcome upload;
            run_parallel(
                {[&]
                 {
                     caller uploader(on.io(), system.nodes()[0].caller);
                     upload = uploader.call({"oogstbeurs", "upload", "POST",
                                             "/?sleep_ms=800",
                                             std::string(3'000'000, 'x')});
                 },
                 [&]
                 {
                     sleep_for(on.io(), milliseconds(100));
                     system.set_target(0, {{"drain", 1}});
                 }});
            CHECK(upload.is_good());
            CHECK(system.wait_until(
                [&]
                {
                    const auto status = system.status(3);
                    return number(status, "targets_serving") == 3;
                },
                std::chrono::seconds(5)));
            for (int i = 0; i < 30; ++i)
                CHECK(from.call({"oogstbeurs", "new"}).target !=
                      system.nodes()[0].target.text());
        });
}

TEST_CASE("calls are served from the last table while the platform is down")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            system.platform_process().kill();
            caller from(on.io(), system.nodes()[3].caller);
            for (int i = 0; i < 100; ++i)
                CHECK(from.call({"oogstbeurs", "out-" + std::to_string(i)})
                          .is_good());
        });
}

TEST_CASE("calls whose request is incomplete take no slot at the target")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            accept_with(system, 1, {{"max_in_flight", "1"}});
            std::vector<std::unique_ptr<tcp_stream>> slow;
            for (int i = 0; i < 20; ++i)
            {
                auto stream = connect_stream(on.io(), system.nodes()[3].caller,
                                             std::chrono::seconds(5));
                REQUIRE(stream);
                boost::system::error_code failed;
                const std::string part = "POST / HTTP/1.1\r\nHost: "
                                         "oogstbeurs\r\nX-Request-Id: slow\r\n"
                                         "Content-Length: 10\r\n\r\nab";
                boost::asio::async_write(**stream, boost::asio::buffer(part),
                                         await{failed});
                slow.push_back(std::move(*stream));
            }
            caller from(on.io(), system.nodes()[3].caller);
            for (int i = 0; i < 20; ++i)
                CHECK(from.call({"oogstbeurs", "quick-" + std::to_string(i)})
                          .is_good());
            CHECK_FALSE(all_runs(system).contains("slow"));
        });
}

TEST_CASE("large request and response bodies stream in bounded memory")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            accept_with(system, 1, {{"timeout_ms", "60000"}});
            constexpr std::size_t size = 40'000'000;
            std::vector<call_outcome> outcomes(6);
            std::vector<worker::task> tasks;
            const std::string body(size, 'x');
            for (std::size_t i = 0; i < outcomes.size(); ++i)
                tasks.emplace_back(
                    [&, i]
                    {
                        caller from(on.io(), system.nodes()[3].caller);
                        outcomes[i] = from.call(
                            {"oogstbeurs", "large-" + std::to_string(i), "POST",
                             "/?answer_bytes=20000000", body});
                    });
            run_parallel(std::move(tasks));
            for (const auto& outcome : outcomes)
            {
                CHECK(outcome.is_good());
                CHECK(outcome.body.size() > 20'000'000);
                CHECK_THAT(outcome.body.substr(0, 200),
                           Catch::Contains("\"bytes\":40000000"));
            }
            for (auto& node : system.nodes())
                CHECK(node.runs.usage().rss_mb < 128);
        });
}

TEST_CASE("several workers share a target's limits, claims and planned stop")
{
    on_worker(
        [](worker& on)
        {
            auto options = four_nodes();
            options.settings["node.workers"] = "3";
            started_cluster system(on, options);
            accept_with(system, 1,
                        {{"max_in_flight", "2"}, {"queue_wait_ms", "5000"}});
            for (std::size_t i = 0; i < 3; ++i)
                system.set_target(i, {{"service_ms", 5}});
            std::vector<call_outcome> outcomes(120);
            std::vector<worker::task> tasks;
            for (std::size_t i = 0; i < outcomes.size(); ++i)
                tasks.emplace_back(
                    [&, i]
                    {
                        caller from(on.io(), system.nodes()[i % 4].caller);
                        call_request made{"oogstbeurs",
                                          "w-" + std::to_string(i), "POST", "/",
                                          "x"};
                        if (i % 4 == 0)
                            made.fields = {{"Idempotency-Key", made.id}};
                        outcomes[i] = from.call(made);
                    });
            run_parallel(std::move(tasks));
            for (std::size_t i = 0; i < outcomes.size(); ++i)
            {
                INFO(i << " " << outcomes[i].body);
                CHECK(outcomes[i].is_good());
                CHECK(outcomes[i].id == "w-" + std::to_string(i));
            }
            for (const auto& [id, count] : all_runs(system))
                CHECK(count == 1);
            for (std::size_t i = 0; i < 3; ++i)
                CHECK(number(
                          *system.get(system.nodes()[i].target, "/admin/stats"),
                          "most_running") <= 2);
            system.nodes()[1].runs.send(SIGTERM);
            REQUIRE(system.wait_until(
                [&] { return !system.nodes()[1].runs.is_running(); }));
            CHECK(system.nodes()[1].runs.wait() == 0);
        });
}
