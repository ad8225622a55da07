#include "tillerhall/control/drain_registry.hpp"

#include <boost/json.hpp>

namespace tillerhall
{

void drain_registry::apply_rows(const row_page& page, bool is_whole)
{
    if (!m_decode)
        return;
    const auto known = m_mesh.board.drains.get();
    if (page.revision < known->revision())
        return;
    auto domains = is_whole ? std::set<std::string>() : known->domains();
    for (const auto& row : page.rows)
    {
        const auto domain = m_decode(row);
        if (!domain)
            continue;
        if (row.removed)
            domains.erase(*domain);
        else
            domains.insert(*domain);
    }
    set(std::move(domains), page.revision);
}

void drain_registry::apply_update(const std::set<std::string>& domains,
                                  std::uint64_t revision)
{
    if (revision > m_mesh.board.drains.get()->revision())
        set(domains, revision);
}

void drain_registry::set(std::set<std::string> domains, std::uint64_t revision)
{
    const auto before = m_mesh.board.drains.get();
    const domain_drains_ptr next(
        new domain_drains(std::move(domains), revision));
    m_mesh.board.drains.set(next);
    if (next->domains() == before->domains())
        return;
    m_mesh.board.decisions.note(
        "drained_domains", m_mesh.members.self().place.domain,
        "the operators' order",
        {{"domains", boost::json::value_from(next->domains())},
         {"revision", revision}});
    if (m_on_change)
        m_on_change(*before);
}

} // namespace tillerhall
