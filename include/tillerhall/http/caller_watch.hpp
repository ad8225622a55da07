/** @file Detects that a caller disconnects during its call. */
#pragma once

#include "tillerhall/http/stream.hpp"

#include <memory>

namespace tillerhall
{

/**
 * While this object lives, closes the upstream stream when the caller closes
 * its own. No other operation may use the caller's stream meanwhile.
 */
class caller_watch
{
public:
    caller_watch(tcp_stream& caller, tcp_stream& upstream);
    ~caller_watch();

    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;

    /** @return true if the caller disconnected. */
    bool is_gone() const noexcept { return m_state->gone; }

private:
    struct state
    {
        bool active = true;
        bool gone = false;
    };

    tcp_stream& m_caller;
    std::shared_ptr<state> m_state;
};

} // namespace tillerhall
