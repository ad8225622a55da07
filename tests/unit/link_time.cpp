#include "tillerhall/routing/link_time.hpp"

#include <catch2/catch.hpp>

using namespace tillerhall;

TEST_CASE("a body that is late on any link waits only for others")
{
    // Guards against uploads that are refused on idle links, for ever.
    constexpr milliseconds objective(500); // a fifth is 100 ms
    CHECK(link_time{1, 90}.excess_wait(objective) == duration::zero());
    CHECK(link_time{20, 90}.excess_wait(objective) == milliseconds(110));
    CHECK(link_time{1, 400}.excess_wait(objective) == duration::zero());
    CHECK(link_time{150, 400}.excess_wait(objective) == milliseconds(150));
}
