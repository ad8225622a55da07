#include "tillerhall/core/time.hpp"

namespace tillerhall
{

std::int64_t wall_clock_us() noexcept
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
        .count();
}

std::uint64_t wall_clock_ms() noexcept
{
    constexpr std::int64_t us_per_ms = 1000;
    return static_cast<std::uint64_t>(wall_clock_us() / us_per_ms);
}

std::int64_t wall_clock_minute() noexcept
{
    constexpr std::int64_t minute_us = 60'000'000;
    return wall_clock_us() / minute_us;
}

} // namespace tillerhall
