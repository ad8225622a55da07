#include "tillerhall/targets/target_register.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace tillerhall;

namespace
{

target_report
report_of(const std::string& id, report_state state, std::uint64_t sequence)
{
    target_report report;
    report.id = id;
    report.service = "s";
    report.where = {"127.0.0.1", 9000};
    report.slots = 4;
    report.state = state;
    report.sequence = sequence;
    return report;
}

target_register open_register()
{
    target_register targets;
    targets.set_marks_known();
    return targets;
}

} // namespace

TEST_CASE("a target that left is never used again, whatever comes late")
{
    rc::prop("over any order of reports, restarts and readings of the marks",
             []
             {
                 target_register targets;
                 std::set<std::string> acknowledged; // leavings
                 const auto steps = *rc::gen::inRange(1, 40);
                 for (int i = 0; i < steps; ++i)
                 {
                     const auto id =
                         "t" + std::to_string(*rc::gen::inRange(0, 3));
                     switch (*rc::gen::inRange(0, 5))
                     {
                     case 0:
                         targets.take(
                             report_of(id, report_state::draining,
                                       *rc::gen::inRange<std::uint64_t>(0, 9)),
                             {});
                         acknowledged.insert(id);
                         break;
                     case 1: // the node is killed; what it kept is read later
                         targets = target_register();
                         break;
                     case 2:
                         for (const auto& each : acknowledged)
                             targets.mark_left(each);
                         targets.set_marks_known();
                         break;
                     default:
                         targets.take(
                             report_of(id, report_state::ready,
                                       *rc::gen::inRange<std::uint64_t>(0, 9)),
                             {});
                     }
                     const auto* used = targets.in_use();
                     const bool kept =
                         used == nullptr || !acknowledged.contains(used->id);
                     RC_ASSERT(kept);
                 }
             });
}

TEST_CASE("before the marks are known no report opens a target")
{
    target_register targets;
    targets.take(report_of("a", report_state::ready, 1), {});
    CHECK(targets.in_use() == nullptr);
    CHECK(targets.newest() != nullptr);
    targets.set_marks_known();
    REQUIRE(targets.in_use() != nullptr);
    CHECK(targets.in_use()->id == "a");
}

TEST_CASE("the sequence orders the reports of one start")
{
    auto targets = open_register();
    CHECK(targets.take(report_of("a", report_state::ready, 5), {}) ==
          report_verdict::opened);
    CHECK(targets.take(report_of("a", report_state::ready, 4), {}) ==
          report_verdict::stale);
    CHECK(targets.take(report_of("a", report_state::ready, 5), {}) ==
          report_verdict::stale);
    CHECK(targets.take(report_of("a", report_state::ready, 6), {}) ==
          report_verdict::unchanged);
}

TEST_CASE(
    "a late report of an earlier start gives way to the next of the newer")
{
    auto targets = open_register();
    targets.take(report_of("old", report_state::ready, 7), {});
    targets.take(report_of("new", report_state::ready, 1), {});
    CHECK(targets.in_use()->id == "new");
    targets.take(report_of("old", report_state::ready, 6), {});
    CHECK(targets.in_use()->id == "new");
    targets.take(report_of("new", report_state::ready, 2), {});
    CHECK(targets.in_use()->id == "new");
}

TEST_CASE("an old start's leaving does not close the new one")
{
    auto targets = open_register();
    targets.take(report_of("old", report_state::ready, 1), {});
    targets.take(report_of("new", report_state::ready, 1), {});
    targets.take(report_of("old", report_state::leaving, 0), {});
    REQUIRE(targets.in_use() != nullptr);
    CHECK(targets.in_use()->id == "new");
    CHECK(targets.take(report_of("new", report_state::draining, 2), {}) ==
          report_verdict::closed);
    CHECK(targets.in_use() == nullptr);
}

TEST_CASE("marks are bounded in number, the newest stay")
{
    auto targets = open_register();
    for (int i = 0; i < 50; ++i)
        targets.mark_left("t" + std::to_string(i));
    CHECK(targets.left().size() == target_register::most_marks);
    CHECK(targets.has_left("t49"));
}
