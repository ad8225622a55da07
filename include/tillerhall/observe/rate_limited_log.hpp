/** @file A rate-limited log for lines about single calls. */
#pragma once

#include "tillerhall/core/token_bucket.hpp"
#include "tillerhall/observe/log.hpp"

#include <utility>

namespace tillerhall
{

/**
 * Writes up to `lines_per_s` lines, with bursts of `burst`. Counts the lines
 * that it drops and reports their number in the next line that it writes. Not
 * thread-safe: for the fibers of one worker.
 */
class rate_limited_log
{
public:
    static constexpr double lines_per_s = 20;
    static constexpr double burst = 100; ///< lines

    /** Writes the line, or drops and counts it when over the rate. */
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
