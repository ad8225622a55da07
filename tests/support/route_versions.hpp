/** @file Versions of the routes, and what calls show of the version in force.
 */
#pragma once

#include "mesh_system.hpp"

namespace tillerhall::harness
{

/** How a call was led. */
enum class led_by
{
    newest,  ///< the newest version, or one that is equal for this call
    older,   ///< a version that is not in force any more
    unknown, ///< the call was refused, or had no answer
};

/**
 * Versions of the configuration: each one adds a route, drops that of the
 * version before the last, and moves the route of bids to the other service.
 */
class route_versions
{
public:
    explicit route_versions(mesh_system& system)
        : m_system(system)
    {
    }

    /** Writes the next version. */
    void put()
    {
        ++m_version;
        m_puts.push_back(steady_clock::now());
        m_system.configure(m_version, routes(), "/health");
    }

    int newest() const noexcept { return m_version; }
    /** @return when @p version was written. */
    time_point put_at(int version) const
    {
        return m_puts[static_cast<std::size_t>(version) - 1];
    }

    /** The service that runs bids. */
    static const char* service_of(int version)
    {
        return version % 2 == 0 ? "beurs" : "schuur";
    }

    static std::string added_path(int version)
    {
        return "/added-" + std::to_string(version) + "/x";
    }

    /** Calls the route that @p version added. */
    static led_by judge_added(unsigned status)
    {
        return status == 404                  ? led_by::older
               : status == 0 || status == 503 ? led_by::unknown
                                              : led_by::newest;
    }

    /** @return how the bid @p id was led, if @p version is in force. */
    led_by judge_bid(const std::string& id, int version) const
    {
        for (const auto& host : m_system.hosts())
            for (const auto& run : host.target->runs())
                if (run.id == id)
                    return host.service == service_of(version) ? led_by::newest
                                                               : led_by::older;
        return led_by::unknown;
    }

    /** Sends a call on the route that the newest version added and a bid to
     * @p host. @return what shows an older version; empty if nothing does */
    std::string fault_at(mesh_host& host)
    {
        const auto id = "v-" + std::to_string(++m_calls);
        const auto added =
            m_system.call(host, id, added_path(m_version)).status;
        if (judge_added(added) == led_by::older)
            return "404 for the route that version " +
                   std::to_string(m_version) + " added";
        m_system.call(host, id + "-bid", "/bids/x");
        if (judge_bid(id + "-bid", m_version) == led_by::older)
            return "a bid was run by the service of an older version";
        return "";
    }

private:
    std::vector<mesh_route> routes() const
    {
        std::vector<mesh_route> made{{"bids", "/bids/", service_of(m_version)},
                                     {"sales", "/sales/", "beurs"},
                                     {"stock", "/stock/", "schuur"}};
        for (int version = std::max(1, m_version - 1); version <= m_version;
             ++version)
        {
            const auto name = "added-" + std::to_string(version);
            made.push_back({name, "/" + name + "/", "beurs"});
        }
        return made;
    }

    mesh_system& m_system;
    int m_version = 0;
    int m_calls = 0;
    std::vector<time_point> m_puts;
};

} // namespace tillerhall::harness
