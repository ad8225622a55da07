#include "tillerhall/targets/target_registry.hpp"

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

target_registry open_registry()
{
    target_registry targets;
    targets.set_departures_known();
    return targets;
}

} // namespace

TEST_CASE(
    "a target that left is never used again, whatever reports arrive late")
{
    rc::prop(
        "for any order of reports, restarts and reads of departure records",
        []
        {
            target_registry targets;
            std::set<std::string> acknowledged; // departures
            const auto steps = *rc::gen::inRange(1, 40);
            for (int i = 0; i < steps; ++i)
            {
                const auto id = "t" + std::to_string(*rc::gen::inRange(0, 3));
                switch (*rc::gen::inRange(0, 5))
                {
                case 0:
                    targets.take(
                        report_of(id, report_state::draining,
                                  *rc::gen::inRange<std::uint64_t>(0, 9)),
                        {});
                    acknowledged.insert(id);
                    break;
                case 1: // the node is killed; stored records are read later
                    targets = target_registry();
                    break;
                case 2:
                    for (const auto& each : acknowledged)
                        targets.record_departure(each);
                    targets.set_departures_known();
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

TEST_CASE("a target that left is not used after a restart that lost its record")
{
    // Guards against trust in a single report, which may be seconds old.
    rc::prop(
        "for any delays of reports, departures and restarts",
        []
        {
            struct sent_report
            {
                target_report report;
                time_point arrives;
            };
            constexpr auto longest =
                duration(target_registry::max_report_delay) - milliseconds(1);
            target_registry targets;
            targets.set_departures_known();
            std::set<std::string> departed;
            std::vector<sent_report> under_way;
            std::uint64_t sequence = 0;
            time_point now{std::chrono::hours(1)};
            const auto steps = *rc::gen::inRange(1, 60);
            for (int i = 0; i < steps; ++i)
            {
                now += milliseconds(*rc::gen::inRange(0, 6'000));
                const auto id = "t" + std::to_string(*rc::gen::inRange(0, 3));
                const bool has_departed = departed.contains(id);
                switch (*rc::gen::inRange(0, 5))
                {
                case 0:
                    targets.take(
                        report_of(id, report_state::leaving, ++sequence), now);
                    departed.insert(id);
                    break;
                case 1: // all nodes that kept the departures are killed
                    targets = target_registry();
                    targets.require_confirmation(now);
                    targets.set_departures_known();
                    break;
                case 2: // a health check
                    if (const auto* waiting = targets.unconfirmed(now);
                        waiting != nullptr && !departed.contains(waiting->id))
                        targets.confirm(waiting->start(), now);
                    break;
                default:
                    if (!has_departed)
                        under_way.push_back(
                            {report_of(id, report_state::ready, ++sequence),
                             now + longest * *rc::gen::inRange(0, 101) / 100});
                }
                for (const auto& each : under_way)
                    if (each.arrives <= now)
                        targets.take(each.report, each.arrives);
                std::erase_if(under_way, [now](const sent_report& each)
                              { return each.arrives <= now; });
                const auto* used = targets.in_use();
                const bool kept =
                    used == nullptr || !departed.contains(used->id);
                RC_ASSERT(kept);
            }
        });
}

TEST_CASE("after a restart a target is used once its report is confirmed")
{
    target_registry targets;
    const time_point start{std::chrono::hours(1)};
    const auto soon = start + milliseconds(500);
    targets.require_confirmation(start);
    targets.set_departures_known();
    using enum report_state;
    CHECK(targets.take(report_of("a", ready, 1), soon) ==
          report_result::unconfirmed);
    CHECK(targets.in_use() == nullptr);
    REQUIRE(targets.unconfirmed(soon) != nullptr);
    CHECK(targets.confirm("b", soon) == report_result::stale);
    CHECK(targets.confirm("a", soon) == report_result::opened);
    REQUIRE(targets.in_use() != nullptr);
    CHECK(targets.unconfirmed(soon) == nullptr);
    CHECK(targets.take(report_of("a", ready, 2), soon) ==
          report_result::unchanged);
    // A late report of another start does not replace it.
    CHECK(targets.take(report_of("old", ready, 9), soon) ==
          report_result::unconfirmed);
    CHECK(targets.in_use()->id == "a");
    CHECK(targets.take(report_of("old", leaving, 10), soon) ==
          report_result::closed);
    CHECK(targets.unconfirmed(soon) == nullptr);
    CHECK(targets.confirm("old", soon) == report_result::stale);
    CHECK(targets.in_use()->id == "a");
}

TEST_CASE("a report that arrives late enough after a restart needs no "
          "confirmation")
{
    // Guards against targets without a working health check that stay unused.
    target_registry targets;
    const time_point start{std::chrono::hours(1)};
    const auto later = start + target_registry::max_report_delay;
    targets.require_confirmation(start);
    targets.set_departures_known();
    targets.take(report_of("a", report_state::ready, 1), start);
    CHECK(targets.unconfirmed(later) == nullptr);
    CHECK(targets.take(report_of("a", report_state::ready, 2), later) ==
          report_result::opened);
}

TEST_CASE("no target is in use before the departure records are read")
{
    target_registry targets;
    targets.take(report_of("a", report_state::ready, 1), {});
    CHECK(targets.in_use() == nullptr);
    CHECK(targets.newest() != nullptr);
    targets.set_departures_known();
    REQUIRE(targets.in_use() != nullptr);
    CHECK(targets.in_use()->id == "a");
}

TEST_CASE("reports of one start are ordered by their sequence")
{
    auto targets = open_registry();
    CHECK(targets.take(report_of("a", report_state::ready, 5), {}) ==
          report_result::opened);
    CHECK(targets.take(report_of("a", report_state::ready, 4), {}) ==
          report_result::stale);
    CHECK(targets.take(report_of("a", report_state::ready, 5), {}) ==
          report_result::stale);
    CHECK(targets.take(report_of("a", report_state::ready, 6), {}) ==
          report_result::unchanged);
}

TEST_CASE("a late report of an earlier start does not replace the newer one")
{
    auto targets = open_registry();
    targets.take(report_of("old", report_state::ready, 7), {});
    targets.take(report_of("new", report_state::ready, 1), {});
    CHECK(targets.in_use()->id == "new");
    targets.take(report_of("old", report_state::ready, 6), {});
    CHECK(targets.in_use()->id == "new");
    targets.take(report_of("new", report_state::ready, 2), {});
    CHECK(targets.in_use()->id == "new");
}

TEST_CASE("the departure of an old start does not close the new one")
{
    auto targets = open_registry();
    targets.take(report_of("old", report_state::ready, 1), {});
    targets.take(report_of("new", report_state::ready, 1), {});
    targets.take(report_of("old", report_state::leaving, 0), {});
    REQUIRE(targets.in_use() != nullptr);
    CHECK(targets.in_use()->id == "new");
    CHECK(targets.take(report_of("new", report_state::draining, 2), {}) ==
          report_result::closed);
    CHECK(targets.in_use() == nullptr);
}

TEST_CASE("only the newest departure records are kept")
{
    auto targets = open_registry();
    for (int i = 0; i < 50; ++i)
        targets.record_departure("t" + std::to_string(i));
    CHECK(targets.departed().size() == target_registry::max_departures);
    CHECK(targets.has_departed("t49"));
}

TEST_CASE("a target that restarts under the same id is a new one")
{
    // Its sequence restarts, and a departure of the earlier start is not its
    // own.
    auto targets = open_registry();
    const auto report =
        [](std::uint64_t born, report_state state, std::uint64_t sequence)
    {
        auto made = report_of("t", state, sequence);
        made.started_ms = born;
        return made;
    };
    const time_point now{std::chrono::hours(1)};
    using enum report_state;
    CHECK(targets.take(report(1'000, ready, 50), now) == report_result::opened);
    CHECK(targets.take(report(2'000, ready, 1), now) == report_result::changed);
    CHECK(targets.in_use()->started_ms == 2'000);
    // Late reports of the earlier start have no effect.
    CHECK(targets.take(report(1'000, ready, 51), now) == report_result::stale);
    targets.take(report(1'000, draining, 52), now);
    REQUIRE(targets.in_use() != nullptr);
    CHECK(targets.in_use()->started_ms == 2'000);
    CHECK(targets.take(report(2'000, draining, 2), now) ==
          report_result::closed);
    CHECK(targets.in_use() == nullptr);
    CHECK(targets.take(report(2'000, ready, 3), now) == report_result::stale);
    // This start may be an unknown earlier one whose clock was ahead.
    CHECK(targets.take(report(3'000, ready, 1), now) ==
          report_result::unconfirmed);
    CHECK(targets.in_use() == nullptr);
    CHECK(targets.confirm("t@3000", now) == report_result::opened);
    // Departure records apply to their start only, also after a restart.
    target_registry again;
    for (const auto& each : targets.departed())
        again.record_departure(each);
    again.set_departures_known();
    CHECK(again.take(report(2'000, ready, 9), now) == report_result::stale);
    CHECK(again.take(report(3'000, ready, 2), now) == report_result::opened);
}

TEST_CASE("a start whose clock was set back is used once no earlier report can "
          "be under way")
{
    // Guards against a target that is taken for its earlier start for good, and
    // against a late report that takes the place of a start which is silent.
    auto targets = open_registry();
    auto report = report_of("t", report_state::ready, 50);
    report.started_ms = 9'000;
    const time_point now{std::chrono::hours(1)};
    targets.take(report, now);
    report.started_ms = 4'000;
    report.sequence = 1;
    CHECK(targets.take(report, now + std::chrono::seconds(1)) ==
          report_result::stale);
    CHECK(targets.take(report, now + std::chrono::seconds(6)) ==
          report_result::stale);
    CHECK(targets.take(report, now + milliseconds(9'999)) ==
          report_result::stale);
    CHECK(targets.take(report, now + std::chrono::seconds(10)) ==
          report_result::changed);
    // Its later reports are not outdated either.
    report.sequence = 2;
    report.slots = 9;
    CHECK(targets.take(report, now + std::chrono::seconds(11)) ==
          report_result::changed);
    REQUIRE(targets.in_use() != nullptr);
    CHECK(targets.in_use()->slots == 9);
}

TEST_CASE("a late report of an earlier start revives nothing after the later "
          "one has left")
{
    // Guards against a target that is used again while it drains.
    auto targets = open_registry();
    const time_point now{std::chrono::hours(1)};
    const auto after = [&](milliseconds span, std::uint64_t born,
                           report_state state, std::uint64_t sequence)
    {
        auto report = report_of("t", state, sequence);
        report.started_ms = born;
        return targets.take(report, now + span);
    };
    using enum report_state;
    after(milliseconds(0), 1'000, ready, 5);
    after(milliseconds(100), 2'000, ready, 1);
    CHECK(after(milliseconds(200), 2'000, draining, 2) ==
          report_result::closed);
    CHECK(after(milliseconds(300), 1'000, ready, 6) == report_result::stale);
    CHECK(after(milliseconds(9'000), 1'000, ready, 7) == report_result::stale);
    CHECK(targets.in_use() == nullptr);
    // No report is under way for so long: this start is the later one, and its
    // clock was set back.
    CHECK(after(milliseconds(10'100), 1'500, ready, 1) ==
          report_result::opened);
}

TEST_CASE("a departure report without a start time means the current start")
{
    auto targets = open_registry();
    auto report = report_of("t", report_state::ready, 1);
    report.started_ms = 1'000;
    targets.take(report, {});
    CHECK(targets.take(report_of("t", report_state::leaving, 0), {}) ==
          report_result::closed);
    CHECK(targets.in_use() == nullptr);
}

TEST_CASE("a target is taken for cold until its next report")
{
    auto targets = open_registry();
    const time_point now{std::chrono::hours(1)};
    targets.take(report_of("t", report_state::ready, 1), now);
    CHECK_FALSE(targets.is_cold(now));
    targets.assume_cold(std::chrono::seconds(3), now);
    CHECK(targets.is_cold(now + std::chrono::seconds(2)));
    targets.take(report_of("t", report_state::ready, 2),
                 now + std::chrono::seconds(1));
    CHECK_FALSE(targets.is_cold(now + std::chrono::seconds(2)));
}
