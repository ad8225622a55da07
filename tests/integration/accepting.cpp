/** @file Accepts under races, lost answers and outages, and with invalid input.
 */
#include "system.hpp"

#include <csignal>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

cluster_options small()
{
    auto options = akkerbond(6);
    options.share_targets = true;
    return options;
}

} // namespace

TEST_CASE("an accepted cell is in force on every node and in the history")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small());
            const auto answer =
                system.accept(1, with_weight(system.csv(), 55), 1, "second");
            REQUIRE(answer);
            CHECK(number(*answer, "version") == 2);
            CHECK(system.wait_for_version(2));
            CHECK(system.wait_until(
                [&]
                {
                    const auto watch = system.get(system.nodes()[3].operators,
                                                  "/v1/watch?version=2");
                    return watch && watch->at("in_force").as_bool() &&
                           number(*watch, "total") == 6;
                }));
            const auto history =
                system.get(system.nodes()[2].operators, "/v1/history");
            REQUIRE(history);
            CHECK(history->at("versions").as_array().size() == 2);
        });
}

TEST_CASE("an accept whose answer was lost is retried and accepted once")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small());
            system.set_platform({{"lose_answers", 1}});
            const auto answer =
                system.accept(0, with_weight(system.csv(), 55), 1, "lost");
            REQUIRE(answer);
            INFO(boost::json::serialize(*answer));
            CHECK(number(*answer, "http_status") == 200);
            CHECK(number(*answer, "version") == 2);
            const auto again =
                system.accept(3, with_weight(system.csv(), 55), 1, "lost");
            REQUIRE(again);
            CHECK(number(*again, "version") == 2);
            CHECK(again->at("repeated").as_bool());
            CHECK(system.wait_for_version(2));
            CHECK(system.version(0) == 2);
        });
}

TEST_CASE("one of five concurrent accepts wins; the others rebase")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small());
            std::vector<boost::json::object> answers(5);
            std::vector<worker::task> tasks;
            for (std::size_t i = 0; i < answers.size(); ++i)
                tasks.emplace_back(
                    [&, i]
                    {
                        // Each edits a different row.
                        if (auto answer = system.accept(
                                i,
                                with_weight(system.csv(),
                                            static_cast<int>(10 + i), i),
                                1, "racer-" + std::to_string(i)))
                            answers[i] = *answer;
                    });
            run_parallel(std::move(tasks));
            const auto won = std::ranges::count_if(
                answers, [](const boost::json::object& each)
                { return number(each, "http_status") == 200; });
            CHECK(won == 1);
            for (std::size_t i = 0; i < answers.size(); ++i)
            {
                if (number(answers[i], "http_status") == 200)
                    continue;
                CHECK(number(answers[i], "http_status") == 409);
                CHECK_FALSE(answers[i].at("rebased_draft").as_string().empty());
                const auto rebased = system.accept(
                    i, with_weight(system.csv(), static_cast<int>(10 + i), i),
                    1, "again-" + std::to_string(i), true);
                REQUIRE(rebased);
                INFO(boost::json::serialize(*rebased));
                CHECK(number(*rebased, "http_status") == 200);
            }
            CHECK(system.wait_for_version(6));
            const auto table =
                system.get(system.nodes()[5].operators, "/v1/table");
            REQUIRE(table);
            const auto merged =
                read_csv(table->at("csv").as_string().c_str()).parsed.table;
            for (std::size_t i = 0; i < answers.size(); ++i)
                CHECK(merged.rows()[i].weight ==
                      static_cast<std::int64_t>(10 + i));
        });
}

TEST_CASE("conflicting edits of a cell are reported with both values")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small());
            REQUIRE(system.accept(0, with_weight(system.csv(), 1), 1, "a"));
            const auto second =
                system.accept(0, with_weight(system.csv(), 2), 1, "b", true);
            REQUIRE(second);
            CHECK(number(*second, "http_status") == 409);
            const auto& conflicts = second->at("conflicts").as_array();
            REQUIRE(conflicts.size() == 1);
            CHECK(conflicts[0].at("mine").as_string() == "2");
            CHECK(conflicts[0].at("theirs").as_string() == "1");
        });
}

TEST_CASE("accepts fail without partial effects while the source is down")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small());
            system.set_platform({{"down", true}});
            const auto refused =
                system.accept(0, with_weight(system.csv(), 9), 1, "outage");
            REQUIRE(refused);
            CHECK(number(*refused, "http_status") == 503);
            CHECK(refused->at("remedy").as_string().size() > 10);
            // A node that restarts meanwhile gets the table from its peers.
            REQUIRE(system.restart(5));
            CHECK(system.wait_until([&] { return system.version(5) == 1; }));
            CHECK(system.wait_until(
                [&] {
                    return system.status(5).at("phase").as_string() == "ready";
                }));
            system.set_platform({{"down", false}});
            CHECK(system.version(0) == 1);
            CHECK(system.wait_until(
                [&]
                {
                    const auto accepted = system.accept(
                        0, with_weight(system.csv(), 9), 1, "outage");
                    return accepted && number(*accepted, "http_status") == 200;
                }));
            CHECK(system.wait_for_version(2));
        });
}

TEST_CASE("a node that resumes from a pause doesn't revert newer versions")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small());
            system.nodes()[0].runs.send(SIGSTOP);
            const auto other =
                system.accept(1, with_weight(system.csv(), 70), 1, "other");
            REQUIRE(other);
            CHECK(number(*other, "version") == 2);
            CHECK(system.wait_until(
                [&]
                {
                    for (std::size_t i = 1; i < 6; ++i)
                        if (system.version(i) < 2)
                            return false;
                    return true;
                }));
            sleep_for(on.io(), std::chrono::seconds(3));
            system.nodes()[0].runs.send(SIGCONT);
            CHECK(system.wait_until([&] { return system.version(0) == 2; }));
            // An accept with the base from before the pause is a conflict.
            const auto late =
                system.accept(0, with_weight(system.csv(), 71), 1, "late");
            REQUIRE(late);
            CHECK(number(*late, "http_status") == 409);
            for (std::size_t i = 0; i < 6; ++i)
                CHECK(system.version(i) == 2);
        });
}

TEST_CASE("invalid tables, tokens and requests are rejected")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small());
            const auto unknown = system.accept(
                0, "service,place\nnobody,polder-a\n", 1, "unknown");
            REQUIRE(unknown);
            CHECK(number(*unknown, "http_status") == 422);
            CHECK(unknown->at("problems").as_array().size() == 1);
            const auto empty_id = system.accept(0, system.csv(), 1, "");
            CHECK(number(*empty_id, "http_status") == 422);
            const auto ahead = system.accept(0, system.csv(), 99, "ahead");
            CHECK(number(*ahead, "http_status") == 422);
            api_client stranger(on.io(), system.nodes()[0].operators);
            const auto denied =
                stranger.call("POST", "/v1/accept", "{}",
                              std::chrono::seconds(5), "wrong-token");
            REQUIRE(denied);
            CHECK(denied->status == 401);
            const auto malformed =
                stranger.call("POST", "/v1/accept", "{",
                              std::chrono::seconds(5), system.token());
            REQUIRE(malformed);
            CHECK(malformed->status == 400);
            for (const auto* path : {"/v1/table?version=x", "/nowhere"})
            {
                const auto answer =
                    system.get(system.nodes()[0].operators, path);
                REQUIRE(answer);
                CHECK(answer->contains("remedy"));
            }
        });
}
