/** @file Time that messages are under way. */
#include "tillerhall/distribution/transit_time.hpp"

#include "generators.hpp"

using namespace tillerhall;

namespace
{

const time_point start = time_point(std::chrono::hours(1));
constexpr std::int64_t ms_per_hour = 3'600'000;

/** A sender whose clock differs from the receiver's. */
struct remote_sender
{
    std::int64_t offset_ms = 0;
    transit_time transit;

    std::int64_t send(std::int64_t at_ms, std::int64_t delay_ms)
    {
        return to_ms(transit.excess("reader", ms_per_hour + at_ms + offset_ms,
                                    start + milliseconds(at_ms + delay_ms)));
    }
};

} // namespace

TEST_CASE("the time of a message under way is known without common clocks")
{
    rc::prop("whatever the clocks and the delays",
             []
             {
                 remote_sender sender{
                     *rc::gen::inRange(-10'000'000, 10'000'000), {}};
                 const auto fastest = *rc::gen::inRange(0, 50);
                 RC_ASSERT(sender.send(0, fastest) == 0);
                 for (int i = 1; i < 20; ++i)
                 {
                     const auto held = *rc::gen::inRange(0, 9'000);
                     RC_ASSERT(sender.send(i * 600, fastest + held) == held);
                 }
             });
}

TEST_CASE("a sender whose clock has stopped is trusted again after a while")
{
    remote_sender sender;
    CHECK(sender.send(0, 1) == 0);
    sender.offset_ms -= 5'000;
    CHECK(sender.send(600, 1) == 5'000);
    for (std::size_t i = 0; i < transit_time::window; ++i)
        sender.send(1'200, 1);
    CHECK(sender.send(1'800, 1) == 0);
}

TEST_CASE("senders that are not heard any more are forgotten")
{
    transit_time transit;
    CHECK(transit.excess("reader", 0, start) == duration::zero());
    const auto later = start + transit_time::forget_after + milliseconds(1);
    CHECK(transit.excess("other", 0, later) == duration::zero());
    CHECK(transit.excess("reader", 0, later) == duration::zero());
}
