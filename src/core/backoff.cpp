#include "tillerhall/core/backoff.hpp"

#include <algorithm>

namespace tillerhall
{

duration backoff::next(random_source& random) noexcept
{
    constexpr int growth = 3;
    const auto span = static_cast<std::uint64_t>(std::max<duration::rep>(
        1, (m_last_wait * growth - m_min_wait).count()));
    const duration next_wait =
        m_min_wait + duration(static_cast<duration::rep>(random.below(span)));
    m_last_wait = std::min(m_max_wait, next_wait);
    return m_last_wait;
}

} // namespace tillerhall
