/** @file Cancels the waits of a call whose client disconnected. */
#pragma once

#include <functional>
#include <utility>

namespace tillerhall
{

/**
 * Cancellation of one call. Code that waits on behalf of the call sets an
 * action that ends its wait; `cancel` runs it. A cancelled scope stays so.
 * For fibers of one worker.
 */
class cancel_scope
{
public:
    /** Sets the action that ends the present wait; null if nothing waits. */
    void set_action(std::function<void()> action)
    {
        m_action = std::move(action);
    }

    /** Ends the present wait. Callers check `is_cancelled` before later ones.
     */
    void cancel()
    {
        m_cancelled = true;
        if (const auto action = std::exchange(m_action, nullptr))
            action();
    }

    bool is_cancelled() const noexcept { return m_cancelled; }

    /** Sets the function that checks if the client has disconnected. */
    void set_disconnect_check(std::function<bool()> has_disconnected)
    {
        m_has_disconnected = std::move(has_disconnected);
    }

    /**
     * Checks once more, before a step that cannot be undone. Cancels if the
     * client has disconnected, also while the read that would report it is
     * still queued on a busy worker.
     * @return true if the call is cancelled.
     */
    bool is_cancelled_now()
    {
        if (!m_cancelled && m_has_disconnected && m_has_disconnected())
            cancel();
        return m_cancelled;
    }

private:
    std::function<void()> m_action;
    std::function<bool()> m_has_disconnected;
    bool m_cancelled = false;
};

/** Sets the action of a scope for the duration of one wait. */
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
