/** @file A value that one thread replaces and others read. */
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <mutex>

namespace tillerhall
{

/**
 * Holds the current of a sequence of immutable values.
 * Lock order: a leaf; nothing else is locked while its mutex is held.
 */
template <class T>
class published
{
public:
    using pointer = boost::intrusive_ptr<const T>;

    explicit published(pointer first)
        : m_current(std::move(first))
    {
    }

    /** @return the current value; it stays valid while it is held. */
    pointer get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }

    /** Replaces the value; readers see the old one or the new one whole. */
    void set(pointer next)
    {
        const std::lock_guard lock(m_mutex);
        m_current.swap(next); // the old one is released outside the lock
    }

private:
    mutable std::mutex m_mutex;
    pointer m_current;
};

} // namespace tillerhall
