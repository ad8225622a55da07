/** @file Time since the newest known read of the source by any node. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace tillerhall
{

/** The newest read of the source by this node or a peer. Does no I/O. */
class source_freshness
{
public:
    /** Notes a read by this node. */
    void note_read(time_point now) noexcept { m_last = now; }

    /** Notes a read that a peer reported, @p age_ms ago; negative is none. */
    void note_peer_read(std::int64_t age_ms, time_point now) noexcept
    {
        if (age_ms < 0)
            return;
        const auto then = now - milliseconds(age_ms);
        m_last = m_last ? std::max(*m_last, then) : then;
    }

    /** Returns the milliseconds since that read, -1 if there was none. */
    std::int64_t age_ms(time_point now) const noexcept
    {
        return m_last ? to_ms(now - *m_last) : -1;
    }

private:
    std::optional<time_point> m_last;
};

} // namespace tillerhall
