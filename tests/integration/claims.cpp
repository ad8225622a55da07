/** @file Calls with an idempotency key run at most once under faults. */
#include "system.hpp"

#include <csignal>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

cluster_options four_node_options()
{
    cluster_options options;
    options.placements = {{"oogstbeurs", "polder-a"},
                          {"oogstbeurs", "polder-b"},
                          {"oogstbeurs", "polder-c"},
                          {"perceel", "polder-a"}};
    options.settings["mesh.heartbeat_ms"] = "100";
    options.settings["platform.timeout_ms"] = "500";
    return options;
}

call_request sale(const std::string& id,
                  const std::string& key,
                  const std::string& body = "1",
                  const std::string& target = "/sell")
{
    call_request made{"oogstbeurs", id, "POST", target, body};
    made.fields = {{"Idempotency-Key", key}};
    return made;
}

/** Returns the number of runs of all calls at the targets. */
std::int64_t total_runs(cluster& system)
{
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < 3; ++i)
        sum += number(*system.get(system.nodes()[i].target, "/admin/stats"),
                      "runs");
    return sum;
}

} // namespace

TEST_CASE("a repeated keyed call gets the stored answer from any node")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_node_options());
            caller first(on.io(), system.nodes()[0].caller);
            const auto sold = first.call(sale("first", "k1"));
            REQUIRE(sold.is_good());
            for (auto& node : system.nodes())
            {
                caller from(on.io(), node.caller);
                const auto again = from.call(sale("again", "k1"));
                CHECK(again.is_good());
                CHECK(again.id == "first");
            }
            const auto other = first.call(sale("other", "k1", "2"));
            CHECK(other.status == 422);
            CHECK(other.outcome == "not-run");
            CHECK(first.call(sale("new", "k2")).is_good());
            CHECK(total_runs(system) == 2);
        });
}

TEST_CASE("concurrent calls with one key through all nodes run once")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_node_options());
            for (int round = 0; round < 5; ++round)
            {
                const auto key = "race-" + std::to_string(round);
                std::vector<worker::task> tasks;
                for (int i = 0; i < 12; ++i)
                    tasks.emplace_back(
                        [&, i]
                        {
                            caller from(on.io(), system.nodes()[i % 4].caller);
                            const auto outcome =
                                from.call(sale(key, key, "1", "/?sleep_ms=50"));
                            CHECK((outcome.is_good() || outcome.status == 409));
                        });
                run_parallel(std::move(tasks));
                CHECK(total_runs(system) == round + 1);
            }
        });
}

TEST_CASE("with the store down a keyed call is refused as not run")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_node_options());
            caller from(on.io(), system.nodes()[3].caller);
            system.set_platform({{"down", true}});
            const auto refused = from.call(sale("down", "k1"));
            CHECK(refused.status == 503);
            CHECK(refused.outcome == "not-run");
            CHECK(total_runs(system) == 0);
            // Calls without a key and repeatable calls still succeed.
            CHECK(
                from.call({"oogstbeurs", "plain", "POST", "/", "x"}).is_good());
            call_request read{"oogstbeurs", "read"};
            read.fields = {{"Idempotency-Key", "k1"}};
            CHECK(from.call(read).is_good());
            system.set_platform({{"down", false}});
            CHECK(system.wait_until(
                [&] { return from.call(sale("up", "k1")).is_good(); }));
            CHECK(total_runs(system) == 3);
        });
}

TEST_CASE("lost answers and failed writes of the store cause no second run")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_node_options());
            caller from(on.io(), system.nodes()[3].caller);
            int good = 0;
            for (int i = 0; i < 8; ++i)
            {
                system.set_platform({{"lose_answers", i % 2},
                                     {"fail_every", i % 3 == 0 ? 2 : 0}});
                const auto key = "k" + std::to_string(i);
                for (int repeat = 0; repeat < 8; ++repeat)
                    if (from.call(sale(key, key)).is_good())
                    {
                        ++good;
                        break;
                    }
            }
            CHECK(good >= 7);
            CHECK(total_runs(system) == good);
        });
}

TEST_CASE("a keyed call whose outcome is unknown is not run again")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_node_options());
            for (std::size_t i = 0; i < 3; ++i)
                system.set_target(i, {{"reset_before_answer", 1}});
            caller from(on.io(), system.nodes()[3].caller);
            CHECK(from.call(sale("lost", "k1")).outcome == "outcome-unknown");
            const auto again = from.call(sale("lost", "k1"));
            CHECK(again.status == 409);
            CHECK(again.outcome == "outcome-unknown");
            CHECK(total_runs(system) == 1);
        });
}

TEST_CASE("an entry node paused in a keyed call causes no second run")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_node_options());
            call_outcome paused_call;
            std::vector<int> other_statuses;
            run_parallel(
                {[&]
                 {
                     caller from(on.io(), system.nodes()[3].caller);
                     auto made = sale("held", "k1", "1", "/?sleep_ms=600");
                     paused_call = from.call(made);
                 },
                 [&]
                 {
                     sleep_for(on.io(), milliseconds(350));
                     system.nodes()[3].runs.send(SIGSTOP);
                     caller other(on.io(), system.nodes()[0].caller);
                     for (int i = 0; i < 5; ++i)
                     {
                         auto made = sale("held", "k1", "1", "/?sleep_ms=600");
                         made.timeout = std::chrono::seconds(5);
                         other_statuses.push_back(
                             static_cast<int>(other.call(made).status));
                         sleep_for(on.io(), milliseconds(500));
                     }
                     system.nodes()[3].runs.send(SIGCONT);
                 }});
            // 409 while claimed, 503 if the paused node coordinates the shard.
            for (const auto status : other_statuses)
                CHECK((status == 409 || status == 503));
            CHECK(total_runs(system) <= 1);
        });
}

TEST_CASE("a claim survives the restart of every node")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, four_node_options());
            {
                caller from(on.io(), system.nodes()[3].caller);
                REQUIRE(from.call(sale("before", "k1")).is_good());
            }
            // Until the result is written.
            sleep_for(on.io(), milliseconds(1500));
            for (std::size_t i = 0; i < 4; ++i)
            {
                REQUIRE(system.restart(i));
                REQUIRE(system.wait_until(
                    [&] { return system.knows_all_targets(i); }));
            }
            caller from(on.io(), system.nodes()[2].caller);
            const auto again = from.call(sale("after", "k1"));
            CHECK(again.status == 409);
            CHECK(again.outcome == "already-ran");
            CHECK(total_runs(system) == 1);
        });
}
