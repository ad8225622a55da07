#include "tillerhall/core/backoff.hpp"

#include <algorithm>

namespace tillerhall
{

duration backoff::next(random_source& random) noexcept
{
    constexpr int growth = 3;
    const auto span = static_cast<std::uint64_t>(
        std::max<duration::rep>(1, (m_last * growth - m_least).count()));
    const duration chosen =
        m_least + duration(static_cast<duration::rep>(random.below(span)));
    m_last = std::min(m_most, chosen);
    return m_last;
}

} // namespace tillerhall
