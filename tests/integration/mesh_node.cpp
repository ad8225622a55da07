/** @file Nodes that follow routes in a store: routing, targets, stops and
 * restarts. */
#include "mesh_system.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

const std::vector<mesh_route> two_routes{
    {"fields", "/fields/", "perceel"}, {"sales", "/sales/", "beurs", "unsafe"}};

/** Two services with two targets each. */
struct four_hosts : mesh_system
{
    explicit four_hosts(worker& on, const std::string& health_path = {})
        : mesh_system(on, {"perceel", "beurs", "perceel", "beurs"})
    {
        configure(1, two_routes, health_path);
        start();
        for (auto& from : hosts())
            REQUIRE(wait_until(
                [&]
                {
                    return call(from, "warm", "/fields/w").status == 200 &&
                           call(from, "warm", "/sales/w", "x").status == 200;
                }));
    }

    /** Calls until the budget, which grows by a tenth of a call, allows a
     * retry. */
    void allow_retry(mesh_host& from)
    {
        for (int i = 0; i < 12; ++i)
            CHECK(call(from, "plain", "/sales/x", "b").status == 200);
    }

    int runs_at(std::size_t host, const std::string& id)
    {
        int runs = 0;
        for (const auto& each : hosts()[host].target->runs())
            runs += each.id == id ? 1 : 0;
        return runs;
    }
};

std::string get(const std::string& id, const std::string& path)
{
    return "GET " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 2000\r\n\r\n";
}

} // namespace

TEST_CASE("requests reach their route's service once and unchanged")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            for (int i = 0; i < 40; ++i)
            {
                const auto id = "r-" + std::to_string(i);
                auto& from = system.hosts()[static_cast<std::size_t>(i) % 4];
                const auto answer =
                    system.call(from, id, "/sales/a?b=" + id, "body-" + id);
                CHECK(answer.status == 200);
                CHECK(answer.proved);
                CHECK(answer.body == "answer to " + id);
                CHECK(system.runs_of(id) == 1);
            }
            for (auto& host : system.hosts())
                for (const auto& run : host.target->runs())
                    if (run.id.starts_with("r-"))
                    {
                        CHECK(host.service == "beurs");
                        CHECK(run.path == "/sales/a?b=" + run.id);
                        CHECK(run.body == "body-" + run.id);
                        CHECK(
                            (run.caller == "beurs" || run.caller == "perceel"));
                        CHECK(std::stoi(run.time_left) <= 2500);
                    }
        });
}

TEST_CASE("valid configurations take effect, truncated and older ones do not")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& from = system.hosts()[0];
            CHECK(system.call(from, "n-1", "/new/x").status == 404);
            auto routes = two_routes;
            routes.push_back({"new", "/new/", "perceel"});
            system.configure(4, routes);
            REQUIRE(system.wait_until(
                [&]
                { return system.call(from, "n-2", "/new/x").status == 200; }));
            // A truncated configuration, and one older than that in force.
            auto cut = mesh_config(9, two_routes);
            cut.resize(cut.size() / 2);
            system.store().put("op", "", "config", cut);
            system.configure(2, two_routes);
            sleep_for(on.io(), milliseconds(1500));
            CHECK(system.call(from, "n-3", "/new/x").status == 200);
            // The route moves to the other service.
            routes.back().service = "beurs";
            system.configure(10, routes);
            REQUIRE(system.wait_until(
                [&]
                {
                    system.call(from, "n-4", "/new/x");
                    return system.runs_at(1, "n-4") + system.runs_at(3, "n-4") >
                           0;
                }));
        });
}

// Without it the record of an incident does not tell which build it is of.
TEST_CASE("a node names its version and commit")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            const auto metrics = system.metrics_of(system.hosts()[0]);
            const auto at = metrics.find("tillerhall_build_info{version=\"");
            REQUIRE(at != std::string::npos);
            const auto line = metrics.substr(at, metrics.find('\n', at) - at);
            CHECK(line.find(",commit=\"") != std::string::npos);
            CHECK(line.find("commit=\"\"") == std::string::npos);
            CHECK(line.ends_with("} 1"));
        });
}

TEST_CASE("without a configuration a request is refused as not run")
{
    on_worker(
        [](worker& on)
        {
            mesh_system system(on, {"perceel"});
            system.start_node(system.hosts()[0]);
            const auto answer =
                system.call(system.hosts()[0], "x", "/fields/x");
            CHECK(answer.status == 503);
            CHECK_FALSE(answer.retry_after.empty());
            CHECK_FALSE(system.is_ready(system.hosts()[0]));
            // The connection is closed: the client retries on a new one.
            const auto begin = steady_clock::now();
            const auto text =
                raw_exchange(on, system.hosts()[0].at["caller"],
                             get("y", "/fields/x"), std::chrono::seconds(10));
            CHECK(text.find("Connection: close") != std::string::npos);
            CHECK(steady_clock::now() - begin < std::chrono::seconds(8));
        });
}

TEST_CASE("a target that left gets no calls, also after its node's restart")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& host = system.hosts()[0];
            REQUIRE(host.target->report(host.at["operators"], "draining") ==
                    200);
            for (int i = 0; i < 20; ++i)
                CHECK(system
                          .call(system.hosts()[1], "d-" + std::to_string(i),
                                "/fields/x")
                          .status == 200);
            host.node.kill();
            system.start_node(host);
            REQUIRE(system.wait_until([&] { return system.is_ready(host); }));
            // A delayed report from before the departure.
            host.target->report(host.at["operators"], "ready", 1);
            for (int i = 0; i < 20; ++i)
                CHECK(system.call(host, "e-" + std::to_string(i), "/fields/x")
                          .status == 200);
            for (const auto& run : host.target->runs())
                CHECK(run.id == "warm");
            // A restarted target at the same node gets calls again.
            host.target->restart("i-next");
            host.target->report(host.at["operators"], "ready");
            CHECK(system.wait_until(
                [&]
                {
                    system.call(host, "f", "/fields/x");
                    return system.runs_at(0, "f") > 0;
                }));
        });
}

TEST_CASE("peers keep a target's departure during a store outage and a restart")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on, "/health");
            auto& host = system.hosts()[0];
            system.store().faults().down = true;
            CHECK(host.target->report(host.at["operators"], "draining") == 200);
            host.node.kill();
            system.start_node(host);
            host.target->report(host.at["operators"], "ready", 1);
            // Peers know its address and send it the members and routes.
            REQUIRE(system.wait_until([&] { return system.is_ready(host); }));
            for (int i = 0; i < 20; ++i)
                system.call(host, "e-" + std::to_string(i), "/fields/x");
            for (const auto& run : host.target->runs())
                CHECK(run.id == "warm");
            CHECK(system.call(host, "g", "/fields/x").status == 200);
        });
}

TEST_CASE("a departure that cannot be stored is not acknowledged")
{
    on_worker(
        [](worker& on)
        {
            mesh_system system(on, {"perceel"});
            system.configure(1, two_routes);
            system.start();
            auto& host = system.hosts()[0];
            system.store().faults().down = true;
            CHECK(host.target->report(host.at["operators"], "draining") == 503);
            CHECK(system.call(host, "x", "/fields/x").status == 503);
            system.store().faults().down = false;
            CHECK(system.wait_until(
                [&] {
                    return host.target->report(host.at["operators"],
                                               "draining") == 200;
                }));
        });
}

TEST_CASE("a planned stop cuts no request and fails readiness checks at once")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& host = system.hosts()[0];
            for (auto& each : system.hosts())
                each.target->faults().work = milliseconds(400);
            std::vector<seen_answer> answers(8);
            std::vector<worker::task> tasks;
            for (std::size_t i = 0; i < answers.size(); ++i)
                tasks.emplace_back(
                    [&, i]
                    {
                        answers[i] =
                            system.call(host, "s-" + std::to_string(i),
                                        i % 2 == 0 ? "/fields/x" : "/sales/x",
                                        i % 2 == 0 ? "" : "body");
                    });
            tasks.emplace_back(
                [&]
                {
                    sleep_for(on.io(), milliseconds(100));
                    host.node.send(SIGTERM);
                    CHECK(system.wait_until([&]
                                            { return !system.is_ready(host); },
                                            std::chrono::seconds(1)));
                });
            run_parallel(std::move(tasks));
            for (std::size_t i = 0; i < answers.size(); ++i)
            {
                CHECK(answers[i].status == 200);
                CHECK(system.runs_of("s-" + std::to_string(i)) == 1);
            }
            REQUIRE(system.wait_until([&] { return !host.node.is_running(); }));
            CHECK(host.node.wait() == 0);
            CHECK(system.call(system.hosts()[1], "after", "/fields/x").status ==
                  200);
        });
}

TEST_CASE("the last target of a service gets calls while its node stops")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& first = system.hosts()[0];
            auto& last = system.hosts()[2];
            auto& other = system.hosts()[1];
            first.node.send(SIGTERM);
            REQUIRE(
                system.wait_until([&] { return !first.node.is_running(); }));
            last.node.send(SIGTERM);
            REQUIRE(system.wait_until([&] { return !system.is_ready(last); }));
            // Its node still serves for some time, so calls must reach it.
            for (int i = 0; i < 10; ++i)
            {
                const auto id = "late-" + std::to_string(i);
                CHECK(system.call(other, id, "/fields/x").status == 200);
                sleep_for(on.io(), milliseconds(50));
            }
        });
}

TEST_CASE("a call that outlasts a planned stop is answered, not cut")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& host = system.hosts()[0];
            auto routes = two_routes;
            routes.front().timeout_ms = 9'000;
            system.configure(2, routes);
            sleep_for(on.io(), std::chrono::seconds(2));
            for (auto& each : system.hosts())
                each.target->faults().work = std::chrono::seconds(7);
            seen_answer answer;
            run_parallel({[&] {
                              answer = system.call(host, "long", "/fields/x",
                                                   "", 9'000);
                          },
                          [&]
                          {
                              sleep_for(on.io(), milliseconds(300));
                              host.node.send(SIGTERM);
                          }});
            CHECK(answer.status == 502); // whether it ran is not known
            CHECK(answer.retry_after.empty());
            REQUIRE(system.wait_until([&] { return !host.node.is_running(); }));
            CHECK(host.node.wait() == 0);
        });
}

TEST_CASE("an unsafe request runs only once, whatever its target does")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            unsigned target_faults::*const table[] = {
                &target_faults::reset_answers,
                &target_faults::truncated_answers,
                &target_faults::unsealed_answers, &target_faults::fail};
            int number = 0;
            for (const auto fault : table)
                for (std::size_t from = 0; from < 4; ++from)
                {
                    for (const std::size_t beurs : {1U, 3U})
                        system.hosts()[beurs].target->faults().*fault = 1;
                    const auto id = "o-" + std::to_string(++number);
                    const auto answer = system.call(system.hosts()[from], id,
                                                    "/sales/x", "body");
                    CHECK(answer.status >= 500);
                    CHECK(answer.status != 503);
                    CHECK(system.runs_of(id) == 1);
                    for (const std::size_t beurs : {1U, 3U})
                        system.hosts()[beurs].target->faults().*fault = 0;
                }
        });
}

TEST_CASE("a request that a target refuses is retried and runs at most once")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            for (int i = 0; i < 30; ++i)
            {
                system.hosts()[i % 2 == 0 ? 1U : 3U].target->faults().shed = 1;
                const auto id = "t-" + std::to_string(i);
                const auto answer =
                    system.call(system.hosts()[static_cast<std::size_t>(i) % 4],
                                id, "/sales/x", "body");
                CHECK(system.runs_of(id) == (answer.status == 200 ? 1 : 0));
                CHECK((answer.status == 200 || answer.status == 503));
            }
        });
}

// Guards against refusals that cost the call a target, or mark targets as full.
TEST_CASE("a call refused with free slots is sent to the same target again")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& from = system.hosts()[0];
            for (int i = 0; i < 6; ++i)
            {
                system.allow_retry(from);
                for (const std::size_t beurs : {1U, 3U})
                    system.hosts()[beurs].target->faults().shed = 1;
                const auto id = "again-" + std::to_string(i);
                CHECK(system.call(from, id, "/sales/x", "b").status == 200);
                const auto sends = [&](std::size_t host)
                {
                    return std::ranges::count(
                        system.hosts()[host].target->arrivals(), id,
                        &target_arrival::id);
                };
                CHECK(std::max(sends(1), sends(3)) == 2);
                CHECK(std::min(sends(1), sends(3)) == 0);
                CHECK(system.runs_of(id) == 1);
                for (const std::size_t beurs : {1U, 3U})
                    system.hosts()[beurs].target->faults().shed = 0;
            }
        });
}

// Guards against a late copy of a refusal that is taken for the answer to the
// repeat: the call then runs at a second target, or is refused although it
// runs.
TEST_CASE("a late copy of a refusal does not answer the repeat of its call")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& from = system.hosts()[0];
            for (int i = 0; i < 6; ++i)
            {
                system.allow_retry(from);
                for (const std::size_t beurs : {1U, 3U})
                {
                    auto& faults = system.hosts()[beurs].target->faults();
                    faults.shed = 1;
                    faults.late_copies = 1;
                }
                const auto id = "late-" + std::to_string(i);
                CHECK(system.call(from, id, "/sales/x", "b").status == 200);
                CHECK(system.runs_of(id) == 1);
                for (const std::size_t beurs : {1U, 3U})
                    system.hosts()[beurs].target->faults() = {};
            }
        });
}

// Guards against sends to a target that leaves, and against a target whose low
// load attracts calls because it refuses them all.
TEST_CASE("a target that leaves or refuses every call gets no repeats")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& from = system.hosts()[0];
            auto& target = *system.hosts()[1].target;
            target.faults().shed = 100'000;
            int served = 0;
            for (int i = 0; i < 300; ++i)
                served +=
                    system.call(from, "a-" + std::to_string(i), "/sales/x", "b")
                                    .status == 200 &&
                            i >= 150
                        ? 1
                        : 0;
            INFO(target.arrivals().size() << " sends to the refusing target");
            CHECK(served >= 145);
            target.faults().leaving = true;
            const auto sends = [&](const std::string& id) {
                return std::ranges::count(target.arrivals(), id,
                                          &target_arrival::id);
            };
            for (int i = 0; i < 40; ++i)
            {
                const auto id = "left-" + std::to_string(i);
                CHECK(system.call(from, id, "/sales/x", "b").status != 0);
                CHECK(sends(id) <= (i < 20 ? 1 : 0));
            }
        });
}

TEST_CASE("late and early answers of a target reach no other request")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            for (int i = 0; i < 60; ++i)
            {
                for (auto& host : system.hosts())
                {
                    host.target->faults().duplicate_answers =
                        i % 3 == 0 ? 1 : 0;
                    host.target->faults().early_answers = i % 5 == 0 ? 1 : 0;
                }
                const auto id = "l-" + std::to_string(i);
                const auto answer =
                    system.call(system.hosts()[static_cast<std::size_t>(i) % 4],
                                id, "/sales/x", std::string(200'000, 'x'));
                CHECK(answer.status == 200);
                CHECK(answer.body == "answer to " + id);
                CHECK(system.runs_of(id) == 1);
            }
        });
}

TEST_CASE("pipelined requests run concurrently and are answered in order")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            for (auto& host : system.hosts())
                host.target->faults().work = milliseconds(300);
            std::string bytes;
            for (int i = 0; i < 6; ++i)
                bytes += get("p-" + std::to_string(i), "/fields/x");
            const auto begin = steady_clock::now();
            const auto text = raw_exchange(on, system.hosts()[1].at["caller"],
                                           bytes, std::chrono::seconds(2));
            std::size_t at = 0;
            for (int i = 0; i < 6; ++i)
            {
                at = text.find("answer to p-" + std::to_string(i), at);
                REQUIRE(at != std::string::npos);
            }
            CHECK(steady_clock::now() - begin < std::chrono::seconds(3));
            for (int i = 0; i < 6; ++i)
                CHECK(system.runs_of("p-" + std::to_string(i)) == 1);
        });
}

TEST_CASE("requests received while answers are sent are answered in order")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto stream = connect_stream(
                on.io(), system.hosts()[0].at["caller"], milliseconds(1000));
            REQUIRE(stream);
            constexpr int count = 600;
            boost::system::error_code failed;
            std::string answers;
            (*stream)->expires_after(std::chrono::seconds(20));
            const auto send = [&]
            {
                for (int i = 0; i < count && !failed; ++i)
                {
                    const auto text = get("o-" + std::to_string(i), "/fields/");
                    boost::asio::async_write(
                        **stream, boost::asio::buffer(text), await{failed});
                    if (i % 3 == 0) // about as long as an answer takes
                        sleep_for(on.io(), milliseconds(i % 4));
                }
            };
            const auto last = "answer to o-" + std::to_string(count - 1);
            const auto receive = [&]
            {
                boost::system::error_code ended;
                boost::asio::async_read_until(
                    **stream, boost::asio::dynamic_buffer(answers), last,
                    await{ended});
                CHECK_FALSE(ended);
            };
            run_parallel({send, receive});
            CHECK_FALSE(failed);
            std::size_t at = 0;
            for (int i = 0; i < count && at != std::string::npos; ++i)
                at = answers.find("answer to o-" + std::to_string(i), at);
            CHECK(at != std::string::npos);
            CHECK(system.hosts()[0].node.is_running());
        });
}

TEST_CASE("malformed and oversized requests are refused")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            const auto at = system.hosts()[0].at["caller"];
            const std::string head =
                "POST /sales/x HTTP/1.1\r\nHost: "
                "shop.example\r\nX-Request-Attempt-Id: b\r\n";
            struct bad_request
            {
                std::string bytes;
                std::string status;
            };
            const std::vector<bad_request> table{
                {"nonsense\r\n\r\n", " 400 "},
                {"GET /fields/x HTTP/1.1\r\nHost: shop.example\r\n\r\n",
                 " 400 "},
                {head + "Content-Length: 2000000\r\n\r\n", " 413 "},
                {head + "X-Long: " + std::string(20'000, 'x') + "\r\n\r\n",
                 " 431 "},
                {head +
                     "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                 " 400 "},
                {head + "Host: other.example\r\nContent-Length: 0\r\n\r\n",
                 " 400 "},
            };
            for (const auto& each : table)
            {
                const auto text =
                    raw_exchange(on, at, each.bytes, std::chrono::seconds(1));
                INFO(each.bytes.substr(0, 120));
                CHECK(text.substr(0, 20).find(each.status) !=
                      std::string::npos);
            }
            CHECK(system.runs_of("b") == 0);
        });
}

TEST_CASE("lost answers and a lost history of the store lose no update")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on, "/health");
            system.store().faults().lose_answers = 3;
            auto& host = system.hosts()[2];
            CHECK(host.target->report(host.at["operators"], "draining") == 200);
            system.store().drop_history();
            auto routes = two_routes;
            routes.push_back({"new", "/new/", "perceel"});
            system.configure(5, routes);
            system.store().drop_history();
            for (auto& from : system.hosts())
                CHECK(system.wait_until(
                    [&] {
                        return system.call(from, "h", "/new/x").status == 200;
                    }));
            CHECK(system.runs_at(2, "h") == 0);
        });
}

TEST_CASE("a SIGHUP right after the start does not end the node")
{
    on_worker(
        [](worker& on)
        {
            mesh_system system(on, {"perceel"});
            system.configure(1, two_routes);
            auto& host = system.hosts()[0];
            for (int i = 0; i < 10; ++i)
            {
                system.start_node(host);
                host.node.send(SIGHUP);
                CHECK(system.wait_until([&] { return system.is_ready(host); },
                                        std::chrono::seconds(5)));
                REQUIRE(host.node.is_running());
            }
        });
}

TEST_CASE("SIGHUP reloads the settings and cuts no request")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            auto& host = system.hosts()[0];
            for (auto& each : system.hosts())
                each.target->faults().work = milliseconds(300);
            seen_answer answer;
            run_parallel({[&] { answer = system.call(host, "u", "/fields/x"); },
                          [&]
                          {
                              sleep_for(on.io(), milliseconds(100));
                              host.node.send(SIGHUP);
                              std::ofstream(host.settings_path) << "broken: [";
                              host.node.send(SIGHUP);
                          }});
            CHECK(answer.status == 200);
            CHECK(host.node.is_running());
            CHECK(system.call(host, "v", "/fields/x").status == 200);
        });
}

TEST_CASE("nodes report how long calls waited for them")
{
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            const auto waits_of = [&](mesh_host& host, const std::string& from)
            {
                const auto name =
                    "tillerhall_call_wait_ms_count{from=\"" + from + "\"} ";
                const auto metrics = system.metrics_of(host);
                const auto at = metrics.find(name);
                REQUIRE(at != std::string::npos);
                return std::stoi(metrics.substr(at + name.size()));
            };
            // Each host has called the service that has no target there.
            int by_peers = 0;
            for (auto& host : system.hosts())
            {
                CHECK(waits_of(host, "client") >= 2);
                by_peers += waits_of(host, "peer");
            }
            CHECK(by_peers >= 4);
        });
}

TEST_CASE("callers get no field that nodes exchange")
{
    // Guards against an owner's load report in the answer to a caller.
    on_worker(
        [](worker& on)
        {
            four_hosts system(on);
            const auto& owner = system.hosts()[0];
            // A body on its way to the owner is part of its load report.
            auto sender = connect_stream(on.io(), owner.at.at("peer"),
                                         std::chrono::seconds(5));
            REQUIRE(sender);
            const std::string unfinished =
                "POST / HTTP/1.1\r\nHost: a\r\nX-Request-Attempt-Id: u\r\n"
                "Content-Length: 50000\r\n\r\n";
            boost::system::error_code failed;
            boost::asio::async_write(**sender, boost::asio::buffer(unfinished),
                                     await{failed});
            sleep_for(on.io(), milliseconds(100));
            const auto runs_before = owner.target->runs().size();
            for (int i = 0; i < 40; ++i)
            {
                const auto answer =
                    raw_exchange(on, system.hosts()[1].at["caller"],
                                 get("f-" + std::to_string(i), "/fields/a"),
                                 milliseconds(200));
                CHECK(answer.find("200 OK") != std::string::npos);
                CHECK(answer.find("Tillerhall-") == std::string::npos);
            }
            CHECK(owner.target->runs().size() > runs_before);
        });
}
