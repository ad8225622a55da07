/** @file The rate limit of the local target, for all workers. */
#pragma once

#include "tillerhall/node/call_admission.hpp"
#include "tillerhall/proxy/target_notices.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <mutex>

namespace tillerhall
{

/**
 * Sets the pace of the admission to the limit that the target names. The table
 * does not tell starts of a target apart: a limit lasts until a later response
 * does not name it. Thread-safe. Lock order: its mutex comes before those of
 * `call_admission`, `metrics_registry` and `journal`.
 */
class target_rate
{
public:
    target_rate(blackboard& board, call_admission& admission_gate)
        : m_admission(admission_gate)
        , m_notices(m_names, board)
    {
    }

    /** Takes the head of a response. @param sent when its request was sent */
    void take(const boost::beast::http::fields& head, time_point sent)
    {
        const std::lock_guard lock(m_mutex);
        m_notices.take(m_notices.target(), head, sent);
        m_admission.set_pace(m_notices.rate_limit());
    }

private:
    std::mutex m_mutex;
    call_admission& m_admission;
    wire_names m_names;
    target_notices m_notices;
};

} // namespace tillerhall
