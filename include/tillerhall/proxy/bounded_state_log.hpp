/** @file Log lines at the begin and the end of a state that may recur often. */
#pragma once

#include "tillerhall/core/token_bucket.hpp"

#include <boost/json/object.hpp>
#include <string>

namespace tillerhall
{

struct blackboard;

/** Names of the log lines of a state. */
struct state_lines
{
    const char* begins;
    const char* ends;
};

/**
 * Notes when a state begins and when it ends. Over the rate it leaves out both
 * lines of an occurrence.
 */
class bounded_state_log
{
public:
    static constexpr double lines_per_s = 0.2;
    static constexpr double burst = 5; ///< lines

    bounded_state_log(blackboard& board, const state_lines& lines)
        : m_board(board)
        , m_lines(lines)
    {
    }

    /** Notes that the state begins or ends at @p now. */
    void change(const std::string& subject,
                boost::json::object figures,
                time_point now);

    bool holds() const noexcept { return m_holds; }

private:
    blackboard& m_board;
    state_lines m_lines;
    token_bucket m_bucket{lines_per_s, burst};
    bool m_holds = false;
    bool m_is_noted = false;
    unsigned m_left_out = 0;
};

} // namespace tillerhall
