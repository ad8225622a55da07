/** @file Lets one fiber end what another one waits for. */
#pragma once

#include <functional>
#include <utility>

namespace tillerhall
{

/**
 * The scope of one call that its client may leave. Whoever waits on behalf of
 * the call says how the wait is ended; `cancel` does so, once and for good.
 * For fibers of one worker.
 */
class cancel_scope
{
public:
    /** Sets how the wait that begins now is ended; null when none is on. */
    void set_action(std::function<void()> action)
    {
        m_action = std::move(action);
    }

    /** Ends the wait that is on and every later one. */
    void cancel()
    {
        m_cancelled = true;
        if (const auto action = std::exchange(m_action, nullptr))
            action();
    }

    bool is_cancelled() const noexcept { return m_cancelled; }

    /** Sets how to ask whether the client has left. */
    void set_departure_check(std::function<bool()> has_left)
    {
        m_has_left = std::move(has_left);
    }

    /**
     * For a last look before the call goes where it cannot be taken back.
     * Cancels if the client has left and nobody was told of it yet: the read
     * that tells may wait for its turn of a busy worker. 450 calls a second
     * went on like that in an overload, by a trace of each call.
     * @return whether the call is cancelled.
     */
    bool is_cancelled_now()
    {
        if (!m_cancelled && m_has_left && m_has_left())
            cancel();
        return m_cancelled;
    }

private:
    std::function<void()> m_action;
    std::function<bool()> m_has_left;
    bool m_cancelled = false;
};

/** Sets an action for the time of one wait. */
class cancel_action
{
public:
    cancel_action(cancel_scope& scope, std::function<void()> action)
        : m_scope(scope)
    {
        m_scope.set_action(std::move(action));
    }
    ~cancel_action() { m_scope.set_action(nullptr); }

    cancel_action(const cancel_action&) = delete;
    cancel_action& operator=(const cancel_action&) = delete;

private:
    cancel_scope& m_scope;
};

} // namespace tillerhall
