#include "tillerhall/distribution/update_log.hpp"

namespace tillerhall
{

void update_log::add(const table_update& update)
{
    if (!m_updates.empty() && update.version != m_updates.back().version + 1)
        m_updates.clear();
    m_updates.push_back(update);
    if (m_updates.size() > max_kept)
        m_updates.pop_front();
}

std::optional<std::vector<table_update>>
update_log::since(std::uint64_t version) const
{
    if (m_updates.empty() || m_updates.front().version > version + 1)
        return std::nullopt;
    if (m_updates.back().version <= version)
        return std::nullopt;
    const auto skip =
        static_cast<long>(version + 1 - m_updates.front().version);
    return std::vector<table_update>(m_updates.begin() + skip, m_updates.end());
}

} // namespace tillerhall
