/**
 * @file Calls that a target was sent and does not have.
 *
 * Guards against giving up a call that runs or whose answer is under way, and
 * against one that is never given up.
 */
#include "tillerhall/routing/missing_calls.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

using namespace tillerhall;

namespace
{

time_point at(int ms)
{
    return time_point(std::chrono::hours(1)) + milliseconds(ms);
}

/** A report with a round trip of 10 ms, for which answers are in transit. */
missing_calls::report
report_at(int sent_ms, std::int64_t calls, std::int64_t settled)
{
    return {calls, settled, at(sent_ms), at(sent_ms + 10)};
}

} // namespace

TEST_CASE("a call is missing when two reports lack it")
{
    missing_calls missing;
    missing.take(report_at(100, 2, 3));
    missing.answer_began(at(20), at(140));
    missing.answer_began(at(30), at(150));
    CHECK_FALSE(missing.missing_until(at(160)));
    missing.take(report_at(200, 0, 1));
    CHECK_FALSE(missing.missing_until(at(220))); // still in transit
    CHECK(missing.missing_until(at(221)) == at(90));
    CHECK_FALSE(missing.missing_until(at(300)));
}

TEST_CASE("a call is not missing while others may be the missing ones")
{
    missing_calls missing;
    missing.take(report_at(100, 0, 1));
    CHECK_FALSE(missing.missing_until(at(131)));
    missing.take(report_at(200, 1, 2));
    CHECK_FALSE(missing.missing_until(at(240)));
    missing.answer_began(at(150), at(250));
    CHECK(missing.missing_until(at(250)) == at(90));
}

TEST_CASE("answers that were under way at a report explain what it lacks")
{
    missing_calls missing;
    for (int round = 0; round < 50; ++round)
    {
        const int sent = 100 * round;
        missing.take(report_at(sent, 3, 4));
        missing.answer_began(at(sent - 50), at(sent + 20));
        for (int i = 0; i < 3; ++i)
            CHECK_FALSE(missing.missing_until(at(sent + 40 + i)));
    }
}

TEST_CASE("calls that end without an answer are no proof for others")
{
    missing_calls missing;
    for (int round = 0; round < 2; ++round)
    {
        const int sent = 100 * round;
        missing.take(report_at(sent, 1, 2));
        missing.call_ended(at(sent - 50));
        CHECK_FALSE(missing.missing_until(at(sent + 50)));
    }
}

TEST_CASE("calls that were not settled in a report do not affect its proof")
{
    missing_calls missing;
    for (int round = 0; round < 2; ++round)
    {
        const int sent = 100 * round;
        missing.take(report_at(sent, 0, 1));
        missing.answer_began(at(sent - 5), at(sent + 12));
        missing.call_ended(at(sent + 3));
        const auto proved = missing.missing_until(at(sent + 31));
        CHECK(proved == (round == 0 ? std::nullopt : std::optional(at(-10))));
    }
}

TEST_CASE("reports of less than 100 ms prove nothing")
{
    missing_calls missing;
    for (int sent = 0; sent < 100; sent += 20)
    {
        missing.take(report_at(sent, 0, 1));
        CHECK_FALSE(missing.missing_until(at(sent + 21)));
    }
    missing.take(report_at(100, 0, 1));
    CHECK(missing.missing_until(at(121)) == at(-10));
}

TEST_CASE("more calls than were sent are none that is missing")
{
    missing_calls missing;
    for (int round = 0; round < 3; ++round)
    {
        missing.take(report_at(100 * round, 1'000'000, 2));
        CHECK_FALSE(missing.missing_until(at(100 * round + 50)));
    }
}

TEST_CASE("a call that runs for long delays a proof until it ends")
{
    missing_calls missing;
    std::optional<time_point> proved;
    // Of three settled calls one is missing, one runs on, one is answered.
    for (int round = 0; round < 20 && !proved; ++round)
    {
        const int sent = 100 * round;
        missing.take(report_at(sent, 2, 3));
        missing.answer_began(at(sent - 20), at(sent + 60));
        proved = missing.missing_until(at(sent + 70));
    }
    CHECK_FALSE(proved); // the one that runs could be the missing one
    missing.answer_began(at(-50), at(2'080));
    CHECK_FALSE(missing.missing_until(at(2'090)));
    CHECK(missing.missing_until(at(2'090)));
}

TEST_CASE("a report whose answers were in transit does not hide a later one")
{
    missing_calls missing;
    missing.take(report_at(100, 1, 3));
    missing.answer_began(at(20), at(120));
    missing.take(report_at(200, 0, 2));
    CHECK_FALSE(missing.missing_until(at(231)));
    missing.take(report_at(300, 0, 2));
    CHECK(missing.missing_until(at(331)) == at(190));
}

TEST_CASE("a call that runs is never missing, whatever is in transit")
{
    // Requests and answers take up to a round trip of a report each way.
    rc::prop(
        "no running call is taken for missing",
        []
        {
            struct played_call
            {
                int sent, arrives, ends, answer;
            };
            constexpr int span = 3'000;
            const int transit = *rc::gen::inRange(1, 200);
            const auto ways = rc::gen::inRange(0, transit + 1);
            std::vector<played_call> calls;
            for (int t = 0; t < span; t += *rc::gen::inRange(1, 60))
            {
                const int arrives = t + *ways;
                const int ends = arrives + *rc::gen::inRange(1, 400);
                calls.push_back({t, arrives, ends, ends + *ways});
            }
            missing_calls missing;
            for (int now = 0; now < span; ++now)
            {
                for (const auto& each : calls)
                    if (each.answer == now)
                        missing.answer_began(at(each.sent), at(now));
                // A health check that needs as long as the slowest call.
                const int asked = now - transit;
                if (now % 100 == 0 && asked > 0)
                {
                    const int told = now - *rc::gen::inRange(0, transit + 1);
                    const auto until =
                        missing_calls::settled_until(at(asked), at(now));
                    const auto running = std::ranges::count_if(
                        calls, [&](const auto& each)
                        { return each.arrives <= told && told < each.ends; });
                    const auto settled = std::ranges::count_if(
                        calls,
                        [&](const auto& each) {
                            return at(each.sent) <= until && each.answer > now;
                        });
                    missing.take({running, settled, at(asked), at(now)});
                }
                if (const auto until = missing.missing_until(at(now)))
                    for (const auto& each : calls)
                        RC_ASSERT(at(each.sent) > *until || each.answer <= now);
            }
        });
}
