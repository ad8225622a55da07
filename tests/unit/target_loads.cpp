/**
 * @file Loads in the responses of a target, as its owner takes them.
 *
 * Guards against a line for each response, against a load that is booked to
 * another start of the target, and against a malformed one that counts.
 */
#include "tillerhall/proxy/target_loads.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/observe/log.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

constexpr const char* field = "Load";
constexpr const char* start = "i-1";

time_point at(int ms)
{
    return time_point(std::chrono::hours(1)) + milliseconds(ms);
}

/** Loads that hold a slowness, or nothing that can be read. */
struct loads_under_test
{
    loads_under_test()
    {
        start_logging(log_level::error);
        loads.set_reader(
            [](const boost::beast::http::fields& head)
                -> std::optional<result<target_load>>
            {
                if (head.count(field) == 0)
                    return std::nullopt;
                if (head[field] == "bad")
                    return error(error_code::bad_syntax, "bad");
                return target_load{2, 0, 12, std::stod(head[field])};
            });
        loads.set_target(start, false, at(0));
    }

    void take(const std::string& text, int ms, const char* from = start)
    {
        boost::beast::http::fields head;
        head.set(field, text);
        loads.take(from, head, true, at(ms), at(ms));
    }

    std::ptrdiff_t lines(std::string_view decision) const
    {
        const auto noted = board.decisions.about("");
        return std::ranges::count(noted, decision, &journal_entry::decision);
    }

    worker on;
    blackboard board;
    target_loads loads{board, on};
};

} // namespace

TEST_CASE(
    "a load that cannot be read changes nothing and is noted once a start")
{
    loads_under_test made;
    made.take("2.5", 0);
    for (int ms = 1; ms < 100; ++ms)
        made.take("bad", ms);
    CHECK(made.loads.speed().slowness(at(100)) == 2.5);
    CHECK(made.lines("target_load_invalid") == 1);
    CHECK(made.board.metrics.get("tillerhall_bad_target_load_total").value() ==
          99);
    made.loads.set_target("i-2", false, at(100));
    made.take("bad", 101, "i-2");
    CHECK(made.lines("target_load_invalid") == 2);
}

TEST_CASE("the load of another start of the target is ignored")
{
    loads_under_test made;
    made.take("2.5", 0, "i-0");
    CHECK(made.loads.speed().slowness(at(0)) == 1);
    made.take("2.5", 0);
    made.loads.set_target("i-2", false, at(1));
    CHECK(made.loads.speed().slowness(at(1)) == 1);
}

TEST_CASE("one line when a target becomes slow and one when it no longer is")
{
    loads_under_test made;
    for (int ms = 0; ms < 100; ++ms)
        made.take(ms % 2 == 0 ? "2.5" : "1.9", ms);
    CHECK(made.lines("target_slow") == 1);
    CHECK(made.lines("target_usual_speed") == 0);
    CHECK(made.board.metrics.get(slowness_metric).value() == 190);
    // Without further responses the report becomes too old.
    made.loads.update(at(500));
    CHECK(made.lines("target_usual_speed") == 1);
    CHECK(made.board.metrics.get(slowness_metric).value() == 100);
}

TEST_CASE("a target that often becomes slow has few lines, all in pairs")
{
    loads_under_test made;
    for (int ms = 0; ms < 10'000; ++ms)
        made.take(ms % 2 == 0 ? "2.5" : "1", ms);
    CHECK(made.lines("target_slow") <= 7);
    CHECK(made.lines("target_slow") == made.lines("target_usual_speed"));
}
