/** @file Detects stalls of the control plane. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <atomic>

namespace tillerhall
{

/**
 * Ticks while the control plane runs. After a pause of the whole process the
 * last tick is too old, so that calls are refused even before the control
 * plane runs again. Thread-safe.
 */
class stall_detector
{
public:
    /** @param limit longest time without a tick that is not a stall */
    explicit stall_detector(duration limit = std::chrono::seconds(2)) noexcept
        : m_limit_ms(to_ms(limit))
        , m_last_ms(now_ms())
    {
    }

    void set_limit(duration limit) noexcept { m_limit_ms = to_ms(limit); }
    void tick() noexcept { m_last_ms = now_ms(); }

    /** @return milliseconds since the last tick. */
    std::int64_t ms_since_tick() const noexcept { return now_ms() - m_last_ms; }

    bool is_stalled() const noexcept { return ms_since_tick() > m_limit_ms; }

private:
    static std::int64_t now_ms() noexcept
    {
        return to_ms(steady_clock::now().time_since_epoch());
    }

    std::atomic<std::int64_t> m_limit_ms;
    std::atomic<std::int64_t> m_last_ms;
};

} // namespace tillerhall
