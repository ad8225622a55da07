/** @file A set with a limit, which forgets its oldest members. */
#pragma once

#include <cstddef>
#include <deque>
#include <set>

namespace tillerhall
{

/** Keeps the `limit` members that were inserted last. */
template <class T>
class bounded_set
{
public:
    explicit bounded_set(std::size_t limit)
        : m_limit(limit)
    {
    }

    void insert(const T& member)
    {
        if (!m_members.insert(member).second)
            return;
        m_order.push_back(member);
        if (m_order.size() <= m_limit)
            return;
        m_members.erase(m_order.front());
        m_order.pop_front();
    }

    bool contains(const T& member) const { return m_members.contains(member); }
    std::size_t size() const noexcept { return m_members.size(); }

private:
    std::size_t m_limit;
    std::set<T> m_members;
    std::deque<T> m_order; ///< oldest first
};

} // namespace tillerhall
