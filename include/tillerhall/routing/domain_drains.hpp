/** @file Failure domains that operators have drained. */
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <set>
#include <string>

namespace tillerhall
{

/**
 * All drain orders in the store at one revision. Targets of a drained domain
 * get no calls.
 */
class domain_drains : public boost::intrusive_ref_counter<domain_drains>
{
public:
    domain_drains() = default;
    domain_drains(std::set<std::string> domains, std::uint64_t revision)
        : m_domains(std::move(domains))
        , m_revision(revision)
    {
    }

    bool contains(const std::string& domain) const
    {
        return m_domains.contains(domain);
    }

    const std::set<std::string>& domains() const noexcept { return m_domains; }

    /** @return the store's revision up to which the orders were read. */
    std::uint64_t revision() const noexcept { return m_revision; }

private:
    std::set<std::string> m_domains;
    std::uint64_t m_revision = 0;
};

using domain_drains_ptr = boost::intrusive_ptr<const domain_drains>;

} // namespace tillerhall
