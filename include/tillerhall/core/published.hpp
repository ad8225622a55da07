/** @file An immutable value that one thread replaces and others read. */
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <mutex>

namespace tillerhall
{

/**
 * Holds a pointer to the current value; readers share ownership of it.
 * Lock order: a leaf; no other mutex is locked while its own is held.
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

    /** @return the current value; valid while the pointer exists. */
    pointer get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }

    /** Replaces the value; readers get either the old or the new one. */
    void set(pointer next)
    {
        const std::lock_guard lock(m_mutex);
        m_current.swap(next); // `next` frees the old one after unlocking
    }

private:
    mutable std::mutex m_mutex;
    pointer m_current;
};

} // namespace tillerhall
