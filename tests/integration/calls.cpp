/** @file Calls under faults: what callers are told against what really ran. */
#include "system.hpp"

#include "tillerhall/core/await.hpp"
#include "tillerhall/table/column.hpp"
#include "tillerhall/table/csv.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <set>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

/** Three nodes with a target each of one service, and one of another. */
cluster_options four_nodes()
{
    cluster_options options;
    options.placements = {{"oogstbeurs", "polder-a"},
                          {"oogstbeurs", "polder-b"},
                          {"oogstbeurs", "polder-c"},
                          {"perceel", "polder-a"}};
    options.settings["mesh.heartbeat_ms"] = "100";
    options.settings["mesh.suspect_ms"] = "1000";
    options.settings["target.health_ms"] = "100";
    return options;
}

/** @return the runs of all targets by request id. */
std::map<std::string, std::int64_t> all_runs(cluster& system)
{
    std::map<std::string, std::int64_t> runs;
    for (auto& node : system.nodes())
        if (const auto counted = system.get(node.target, "/admin/runs"))
            for (const auto& each : *counted)
                if (each.key() != "http_status")
                    runs[each.key()] += each.value().to_number<std::int64_t>();
    return runs;
}

/** Accepts the default table with one column set in every row. */
void accept_with(cluster& system,
                 std::uint64_t base,
                 const std::map<std::string, std::string>& cells)
{
    std::vector<row> rows;
    const auto current = read_csv(system.default_table()).parsed.table;
    for (auto each : current.rows())
    {
        for (const auto& [name, value] : cells)
            REQUIRE(set_cell(each, **find_column(name), value));
        rows.push_back(each);
    }
    const auto accepted = system.accept(0, write_csv(config_table(rows)), base,
                                        "limits-" + std::to_string(base));
    REQUIRE(accepted);
    INFO(boost::json::serialize(*accepted));
    REQUIRE(number(*accepted, "http_status") == 200);
    REQUIRE(system.wait_for_version(static_cast<std::int64_t>(base) + 1));
}

/** Sends raw bytes to @p to and @return all that comes back. */
std::string
exchange_raw(worker& on, const address& to, const std::string& bytes)
{
    auto stream = connect_stream(on.io(), to, std::chrono::seconds(5));
    REQUIRE(stream);
    boost::system::error_code failed;
    (*stream)->expires_after(std::chrono::seconds(10));
    boost::asio::async_write(**stream, boost::asio::buffer(bytes),
                             await{failed});
    std::string answer;
    boost::asio::async_read_until(**stream, boost::asio::dynamic_buffer(answer),
                                  "\r\n\r\n", await{failed});
    return answer;
}

} // namespace

TEST_CASE("a call whose connection is reset after it was passed runs once")
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
            // What may be repeated is, and the caller sees no fault.
            for (std::size_t i = 0; i < 2; ++i)
                system.set_target(i, {{"reset_before_answer", 1}});
            for (int i = 0; i < 10; ++i)
                CHECK(from.call({"oogstbeurs", "read-" + std::to_string(i)})
                          .is_good());
        });
}

TEST_CASE("an answer cut in the middle is never passed off as whole")
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

TEST_CASE("a call refused as not run did not run, and only then")
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

TEST_CASE("a target that sheds by its published sign is tried elsewhere")
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

TEST_CASE("neither a target nor a caller can forge the mesh's word")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_nodes());
            // The stand-in echoes nothing, so the caller's own header is the
            // one that could come back.
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

TEST_CASE("after a timeout no later call gets the late answer")
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

TEST_CASE("an owner killed in mid-call makes the outcome unknown, not doubled")
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

TEST_CASE("a caller that goes away cancels the work at the target")
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

TEST_CASE("a planned stop cuts no call in flight and exits 0")
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
                        // Some go through the node that stops.
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
            // Nothing new goes to it.
            caller from(on.io(), system.nodes()[3].caller);
            for (int i = 0; i < 20; ++i)
                CHECK(from.call({"oogstbeurs", "later"}).target !=
                      system.nodes()[1].target.text());
        });
}

TEST_CASE("a target that drains gets no new work, its running calls finish")
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

TEST_CASE("a target that hangs or lies about its health is turned from")
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
            // By places in thirds; the only target of its place is still
            // tried, so that its recovery is seen.
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

TEST_CASE("slow callers hold no place at the target")
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

TEST_CASE("smuggled, oversized and broken requests are refused as not run")
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
            // A body whose chunks are broken never becomes a whole call.
            const auto broken = exchange_raw(
                on, entry,
                "POST / HTTP/1.1\r\n" + host +
                    "X-Request-Id: broken\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "zz\r\nabc\r\n0\r\n\r\n");
            CHECK_THAT(broken, !Catch::Contains("HTTP/1.1 200"));
            CHECK(all_runs(system).empty());
        });
}

TEST_CASE("large bodies stream both ways in bounded memory")
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
