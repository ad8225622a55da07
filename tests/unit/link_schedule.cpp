/** @file Order of large answers on a slow link, and their refusal. */
#include "tillerhall/routing/link_schedule.hpp"
#include "tillerhall/core/random.hpp"
#include "tillerhall/routing/answer_backlog.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <vector>

using namespace tillerhall;

namespace
{

constexpr double mbps = 15;
constexpr std::uint64_t answer = 90'000;

/** Waiting bodies and the order in which they were sent. */
struct simulated_link
{
    void enqueue(int name, std::uint64_t bytes, time_point due, time_point now)
    {
        auto& waiter = waiters.emplace_back();
        waiter.bytes = bytes;
        waiter.due = due;
        waiter.wake = [this, name] { order.push_back(name); };
        schedule.enqueue(waiter, now);
    }

    std::list<link_waiter> waiters;
    std::vector<int> order;
    link_schedule schedule{mbps};
};

} // namespace

TEST_CASE("small bodies and links of unknown rate never wait")
{
    const time_point now{};
    link_schedule slow(mbps);
    slow.sent(10 * answer, now);
    CHECK_FALSE(slow.must_wait(link_schedule::large_bytes - 1, now));
    CHECK(slow.must_wait(link_schedule::large_bytes, now));

    link_schedule unknown(0);
    unknown.sent(10 * answer, now);
    CHECK_FALSE(unknown.must_wait(answer, now));
    CHECK(unknown.backlog(now) == duration::zero());
}

TEST_CASE("a link is free once it has carried the bytes sent")
{
    const time_point now{};
    link_schedule link(mbps);
    link.sent(answer, now);
    CHECK(link.must_wait(answer, now));
    CHECK(link.backlog(now) == link.time_of(answer));
    const auto later = now + link.time_of(answer);
    CHECK_FALSE(link.must_wait(answer, later));
    CHECK(link.backlog(later) == duration::zero());
}

TEST_CASE("bodies go in order of their due times, late ones last")
{
    simulated_link link;
    const auto now = time_point{} + std::chrono::hours(1);
    link.schedule.sent(answer, now);
    link.enqueue(1, answer, now + milliseconds(1'900), now);
    link.enqueue(2, answer, now - milliseconds(5), now); // late
    link.enqueue(3, answer, now + std::chrono::seconds(1), now);
    link.enqueue(4, answer, now + milliseconds(1'500), now);
    for (auto at = now; at < now + std::chrono::seconds(1);
         at += milliseconds(1))
        link.schedule.grant(at);
    CHECK(link.order == std::vector{3, 4, 1, 2});
}

TEST_CASE(
    "a late body is sent within two seconds, however many others are in time")
{
    simulated_link link;
    const auto begin = time_point{} + std::chrono::hours(1);
    link.schedule.sent(answer, begin);
    link.enqueue(0, answer, begin - milliseconds(5), begin);
    bool is_out = false;
    int name = 0;
    for (auto at = begin; at < begin + milliseconds(2'500) && !is_out;
         at += milliseconds(40)) // more than the link carries
    {
        link.enqueue(++name, answer, at + std::chrono::seconds(1), at);
        link.schedule.grant(at);
        is_out = std::ranges::find(link.order, 0) != link.order.end();
    }
    CHECK(is_out);
}

TEST_CASE("a body is not sent before the link has carried those ahead of it")
{
    simulated_link link;
    const auto now = time_point{} + std::chrono::hours(1);
    link.schedule.sent(2 * answer, now);
    link.enqueue(1, answer, now + std::chrono::seconds(1), now);
    link.enqueue(2, answer, now + std::chrono::seconds(2), now);
    link.schedule.grant(now + std::chrono::seconds(1));
    CHECK(link.order == std::vector{1});
    CHECK(link.schedule.any_waits());
}

TEST_CASE(
    "of ten answers ready at once the mean one arrives sooner than together, "
    "and short messages wait for at most one of them")
{
    simulated_link link;
    const auto now = time_point{} + std::chrono::hours(1);
    link.schedule.sent(answer, now);
    for (int i = 1; i < 10; ++i)
        link.enqueue(i, answer, now + std::chrono::seconds(1 + i), now);
    const auto each = link.schedule.time_of(answer);
    duration sum = each;
    std::size_t seen = 0;
    for (auto at = now; at < now + std::chrono::seconds(2);
         at += milliseconds(1))
    {
        link.schedule.grant(at);
        // Bytes ahead of a short message: never two complete answers.
        const auto waiting =
            link.schedule.time_of((9 - link.order.size()) * answer);
        CHECK(link.schedule.backlog(at) - waiting <=
              each + link_schedule::max_ahead);
        if (link.order.size() > seen)
            sum += at - now + link_schedule::max_ahead + each;
        seen = link.order.size();
    }
    CHECK(seen == 9);
    CHECK(sum / 10 < 10 * each * 2 / 3); // sent together, each takes 10 x each
}

namespace
{

constexpr milliseconds run(220);
constexpr milliseconds objective(1'000);
constexpr milliseconds budget(6'000);

struct download
{
    time_point first{}; ///< the client's first attempt
    int tries = 0;
    link_waiter waiter;
};

struct outcome
{
    int in_time = 0;
    int late = 0;
    int refused = 0;
    double worth() const
    {
        return (in_time + 0.3 * late) / std::max(1, in_time + late + refused);
    }
};

/**
 * Simulates clients that call @p per_s times a second for 20 s and retry twice.
 */
outcome simulate_downloads(double per_s, bool refuses)
{
    random_source random(7);
    link_schedule link(mbps);
    std::list<download> all;
    std::multimap<time_point, download*> arrivals;
    std::multimap<time_point, download*> ends;
    const auto begin = time_point{} + std::chrono::hours(1);
    for (double at_ms = 0; at_ms < 20'000;
         at_ms -= std::log(1 - random.unit()) * 1000 / per_s)
    {
        auto& made = all.emplace_back();
        made.first = begin + milliseconds(static_cast<std::int64_t>(at_ms));
        arrivals.emplace(made.first, &made);
    }
    outcome seen;
    std::uint64_t promised = 0;
    auto now = begin;
    const auto arrive = [&](download& call)
    {
        const answer_backlog backlog{.ahead = link.backlog(now) +
                                              link.time_of(promised),
                                     .run = run,
                                     .own = link.time_of(answer),
                                     .objective = objective,
                                     .elapsed = now - call.first};
        if (!refuses || !backlog.is_too_long())
        {
            promised += answer;
            ends.emplace(now + run, &call);
        }
        else if (++call.tries < 3)
            arrivals.emplace(now + backlog.wait(), &call);
        else
            ++seen.refused;
    };
    const auto arrived = [&](const download& call)
    {
        const auto took =
            now + link_schedule::max_ahead + link.time_of(answer) - call.first;
        ++(took <= objective ? seen.in_time
           : took <= budget  ? seen.late
                             : seen.refused);
    };
    const auto send = [&](download& call)
    {
        promised -= answer;
        call.waiter.bytes = answer;
        call.waiter.due = call.first + objective;
        call.waiter.wake = [&arrived, &call] { arrived(call); };
        link.enqueue(call.waiter, now);
    };
    for (; now < begin + std::chrono::seconds(60); now += milliseconds(1))
    {
        while (!arrivals.empty() && arrivals.begin()->first <= now)
        {
            auto* call = arrivals.begin()->second;
            arrivals.erase(arrivals.begin());
            arrive(*call);
        }
        while (!ends.empty() && ends.begin()->first <= now)
        {
            send(*ends.begin()->second);
            ends.erase(ends.begin());
        }
        link.grant(now);
    }
    return seen;
}

} // namespace

TEST_CASE("under overload of a link most downloads that run are in time")
{
    // 18.75 answers of 90 KB a second use nine tenths of 15 Mbit/s.
    const auto refusing = simulate_downloads(28, true);
    const auto accepting_all = simulate_downloads(28, false);
    CAPTURE(refusing.in_time, refusing.late, refusing.refused);
    CAPTURE(accepting_all.in_time, accepting_all.late, accepting_all.refused);
    CHECK(refusing.in_time > 2 * refusing.late);
    CHECK(refusing.worth() > 1.2 * accepting_all.worth());
}

TEST_CASE("without overload no download is refused and few are late")
{
    const auto seen = simulate_downloads(10, true);
    CHECK(seen.refused == 0);
    CHECK(seen.late * 50 < seen.in_time);
}
