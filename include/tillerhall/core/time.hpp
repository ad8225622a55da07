/** @file Clocks and time types. */
#pragma once

#include <chrono>
#include <cstdint>

namespace tillerhall
{

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;
using std::chrono::milliseconds;

/** @return microseconds of wall time since 1970; for reports only, since it
 * may jump. */
std::int64_t wall_clock_us() noexcept;

/** @return whole milliseconds of wall time since 1970; comparable between hosts
 * to within the few seconds by which their clocks may differ. */
std::uint64_t wall_clock_ms() noexcept;

/** @return whole minutes of wall time since 1970. */
std::int64_t wall_clock_minute() noexcept;

/** @return @p span in whole milliseconds, rounded down. */
constexpr std::int64_t to_ms(duration span) noexcept
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

/** @return @p span in milliseconds, with the fraction. */
inline double exact_ms(duration span) noexcept
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace tillerhall
