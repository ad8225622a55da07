/** @file Log lines about single calls, bounded in number. */
#pragma once

#include "tillerhall/core/token_bucket.hpp"
#include "tillerhall/observe/log.hpp"

#include <utility>

namespace tillerhall
{

/**
 * Writes at most so many lines a second; the rest is counted and told in the
 * next line that is written. For fibers of one worker.
 */
class bounded_log
{
public:
    /** Lines a second and at once: 20 of 400 bytes are 8 KB/s a node. */
    static constexpr double lines_per_s = 20;
    static constexpr double burst = 100;

    /** Writes the line, or counts it as left out. */
    void
    write(log_level level, std::string_view event, boost::json::object fields)
    {
        if (!m_bucket.take(steady_clock::now()))
        {
            ++m_left_out;
            return;
        }
        if (m_left_out != 0)
            fields["left_out_before"] = std::exchange(m_left_out, 0U);
        log_event(level, event, std::move(fields));
    }

private:
    token_bucket m_bucket{lines_per_s, burst};
    unsigned m_left_out = 0;
};

} // namespace tillerhall
