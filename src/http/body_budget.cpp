#include "tillerhall/http/body_budget.hpp"

#include <algorithm>

namespace tillerhall
{

body_budget::body::~body()
{
    if (m_from != nullptr)
        m_from->m_taken -= m_bytes;
}

bool body_budget::body::take(std::uint64_t bytes) noexcept
{
    return set(bytes, 1);
}

bool body_budget::body::grow_to(std::uint64_t bytes) noexcept
{
    return set(bytes, 2);
}

bool body_budget::body::set(std::uint64_t bytes, std::uint64_t parts) noexcept
{
    if (m_from == nullptr)
        return true;
    const auto others = m_from->m_taken - m_bytes;
    const auto free = m_from->m_bytes - std::min(others, m_from->m_bytes);
    if (bytes > std::max(free / parts, small_bytes))
        return false;
    m_from->m_taken = others + bytes;
    m_bytes = bytes;
    return true;
}

} // namespace tillerhall
