/** @file Notices that a caller went away while its call is under way. */
#pragma once

#include "tillerhall/http/stream.hpp"

#include <memory>

namespace tillerhall
{

/**
 * While it lives, closes @p upstream as soon as the caller's side of
 * @p caller closes. No other operation may use @p caller meanwhile.
 */
class caller_watch
{
public:
    caller_watch(tcp_stream& caller, tcp_stream& upstream);
    ~caller_watch();

    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;

    /** @return whether the caller went away. */
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
