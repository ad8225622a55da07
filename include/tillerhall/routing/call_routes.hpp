/** @file One version of all routes, immutable once built. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/routing/call_route.hpp"
#include "tillerhall/routing/client_accounts.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <unordered_map>

namespace tillerhall
{

/** Optional parts of a configuration version. */
struct version_extras
{
    std::map<std::string, service_terms> services; ///< by name
    client_accounts_ptr accounts; ///< null: no keys are required
};

/**
 * All routes and client limits of one configuration version; reference-counted.
 */
class call_routes : public boost::intrusive_ref_counter<call_routes>
{
public:
    /** No configuration: version 0, no routes. */
    call_routes() = default;

    /**
     * Checks the routes of @p version.
     * @return the routes, or the reason why the whole version is refused: a
     * route without a service, weight, host or timeout, or two routes for the
     * same host and prefix.
     */
    static result<boost::intrusive_ptr<const call_routes>>
    build(std::uint64_t version,
          std::vector<call_route> routes,
          const client_limits& limits,
          version_extras extras = {});

    std::uint64_t version() const noexcept { return m_version; }
    const client_limits& limits() const noexcept { return m_limits; }
    const std::vector<call_route>& routes() const noexcept { return m_routes; }

    /**
     * @return the accounts whose calls this version takes; null if it requires
     * no keys.
     */
    const client_accounts* accounts() const noexcept
    {
        return m_extras.accounts.get();
    }

    /** @return the limits for cold targets of @p service. */
    service_terms terms_of(const std::string& service) const;

    /**
     * @param host as in the Host field, a port and case ignored
     * @param target path and query as sent
     * @return the route of @p host with the longest prefix of the path, or
     * null; valid as long as this object.
     */
    const call_route* find(std::string_view host,
                           std::string_view target) const;

private:
    std::uint64_t m_version = 0;
    client_limits m_limits;
    version_extras m_extras;
    std::vector<call_route> m_routes;
    std::unordered_map<std::string, std::size_t> m_index; ///< host + prefix
};

using call_routes_ptr = boost::intrusive_ptr<const call_routes>;

} // namespace tillerhall
