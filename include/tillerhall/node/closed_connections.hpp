/** @file Log lines and a metric of connections that gave way to others. */
#pragma once

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/memory_account.hpp"
#include "tillerhall/node/blackboard.hpp"
#include "tillerhall/observe/refusal_periods.hpp"

namespace tillerhall
{

/**
 * Counts the connections that were closed to make room for others, and logs
 * when such a period begins and ends. For fibers of one worker.
 */
class closed_connections
{
public:
    /** @param memory the account that the connections are in */
    closed_connections(worker& on,
                       blackboard& board,
                       const memory_account& memory)
        : m_worker(on)
        , m_board(board)
        , m_memory(memory)
    {
    }

    /** To be called when a connection has been closed. */
    void add();

private:
    /** Logs the end of the periods; returns when none is left. */
    void wait_for_end();

    worker& m_worker;
    blackboard& m_board;
    const memory_account& m_memory;
    refusal_periods m_periods;
};

} // namespace tillerhall
