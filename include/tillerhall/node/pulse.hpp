/** @file Tells whether this process has been running all along. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <atomic>

namespace tillerhall
{

/**
 * Ticks while the control plane runs. After a pause of the whole process the
 * last tick is long ago, so that a call handled before the control plane
 * wakes up is refused all the same. Safe for threads.
 */
class pulse
{
public:
    /** @param limit longest time without a tick that is no pause */
    explicit pulse(duration limit = std::chrono::seconds(2)) noexcept
        : m_limit_ms(to_ms(limit))
        , m_last_ms(now_ms())
    {
    }

    void set_limit(duration limit) noexcept { m_limit_ms = to_ms(limit); }
    void tick() noexcept { m_last_ms = now_ms(); }

    /** @return milliseconds since the last tick. */
    std::int64_t quiet_ms() const noexcept { return now_ms() - m_last_ms; }

    bool was_paused() const noexcept { return quiet_ms() > m_limit_ms; }

private:
    static std::int64_t now_ms() noexcept
    {
        return to_ms(steady_clock::now().time_since_epoch());
    }

    std::atomic<std::int64_t> m_limit_ms;
    std::atomic<std::int64_t> m_last_ms;
};

} // namespace tillerhall
