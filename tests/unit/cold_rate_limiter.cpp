/**
 * @file Rate limit for cold targets.
 *
 * Guards against targets that crash again right after their start because they
 * get more calls than a cold target can serve.
 */
#include "tillerhall/routing/cold_rate_limiter.hpp"
#include "../support/time_window.hpp"
#include "tillerhall/core/random.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace tillerhall;

namespace
{

const time_point started{std::chrono::hours(1)};

} // namespace

TEST_CASE("a cold target never gets more calls a second than its limit")
{
    rc::prop("for any arrival times",
             []
             {
                 const double per_s = *rc::gen::inRange(1, 40);
                 random_source random(*rc::gen::arbitrary<std::uint64_t>());
                 cold_rate_limiter limiter(started);
                 std::vector<time_point> sent;
                 auto now = started + cold_rate_limiter::window;
                 for (int i = 0; i < 400; ++i)
                 {
                     now += milliseconds(random.below(40));
                     if (!limiter.has_room(per_s, now))
                         continue;
                     limiter.sent(now);
                     sent.push_back(now);
                 }
                 RC_ASSERT(static_cast<double>(max_in_window(
                               sent, cold_rate_limiter::window)) <= per_s);
             });
}

TEST_CASE("calls to a warm target count when it becomes cold")
{
    cold_rate_limiter limiter(started);
    const auto now = started + std::chrono::seconds(5);
    for (int i = 0; i < 30; ++i)
        limiter.sent(now + milliseconds(10 * i));
    CHECK_FALSE(limiter.has_room(14, now + milliseconds(400)));
    CHECK(limiter.used(14, now + milliseconds(400)) > 1);
    CHECK(limiter.has_room(14, now + milliseconds(1'200)));
}

TEST_CASE("a new process sends nothing to a cold target in its first second")
{
    cold_rate_limiter limiter(started);
    CHECK_FALSE(limiter.has_room(14, started + milliseconds(10)));
    CHECK(limiter.wait(14, started + milliseconds(10)) == milliseconds(990));
    CHECK(limiter.has_room(14, started + milliseconds(1'000)));
}

TEST_CASE("a refused call gets the time until the limit allows it")
{
    cold_rate_limiter limiter(started);
    const auto now = started + std::chrono::seconds(2);
    for (int i = 0; i < 14; ++i)
    {
        CHECK(limiter.wait(14, now) == duration::zero());
        limiter.sent(now + milliseconds(i));
    }
    const auto later = now + milliseconds(100);
    const auto wait = limiter.wait(14, later);
    CHECK(wait == milliseconds(900));
    CHECK_FALSE(limiter.has_room(14, later + wait - milliseconds(1)));
    CHECK(limiter.has_room(14, later + wait));
}
