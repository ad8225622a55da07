/** @file The phases of a planned stop.
 *
 * Guards against nodes that are killed in the middle of their stop. */
#include "tillerhall/node/stop_schedule.hpp"

#include <catch2/catch.hpp>

using namespace tillerhall;

TEST_CASE("the phases of a stop follow each other and end before the kill")
{
    const time_point signal(std::chrono::hours(1));
    for (const int grace_ms : {1'000, 4'000, 6'000, 60'000})
        for (const int delay_ms : {0, 50, 400})
        {
            CAPTURE(grace_ms, delay_ms);
            const milliseconds grace(grace_ms);
            const milliseconds delay(delay_ms);
            const auto stop = stop_schedule::of(signal, signal + delay, grace);
            CHECK(stop.serve_until >= signal);
            CHECK(stop.serve_until <= signal + stop_schedule::max_serving);
            CHECK(stop.serve_until <= stop.calls_end);
            CHECK(stop.calls_end < stop.exit_by);
            // Calls end in the last sixth, unless the process must exit.
            CHECK((stop.calls_end >= signal + grace * 5 / 6 ||
                   stop.calls_end + stop_schedule::min_answer_time >=
                       stop.exit_by));
            // As late again, the process is still gone in time.
            CHECK(stop.exit_by + delay < signal + grace);
        }
}
