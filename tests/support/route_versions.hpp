/** @file Versions of the routes, and what calls show of the version in force.
 */
#pragma once

#include "mesh_system.hpp"

namespace tillerhall::harness
{

/** A call on a path that depends on the version, and its answer. */
struct versioned_call
{
    std::size_t host = 0; ///< index of the entry
    int added_by = 0;     ///< version that added its route; 0: a bid
    time_point sent{};
    time_point ended{};
    unsigned status = 0;
    std::string ran_at; ///< service of the target that answered, if any

    /** @return whether the call shows which versions can have led it. */
    bool tells_version() const { return status == 404 || !ran_at.empty(); }
};

/**
 * Versions of the configuration: each one adds a route, drops that of the
 * version before the last, and moves the route of bids to the other service.
 */
class route_versions
{
public:
    /** Within this time a version that was written has to be in force. */
    static constexpr std::chrono::seconds bound{2};

    explicit route_versions(mesh_system& system)
        : m_system(system)
    {
    }

    /** Writes the next version. */
    void put()
    {
        m_puts.push_back(steady_clock::now());
        m_system.configure(newest(), routes(), "/health");
    }

    int newest() const { return static_cast<int>(m_puts.size()); }

    /** @return the newest version that was written by @p at. */
    int newest_at(time_point at) const
    {
        return static_cast<int>(std::ranges::upper_bound(m_puts, at) -
                                m_puts.begin());
    }

    /** Calls the route that version @p added_by added, or bids if it is 0. */
    versioned_call
    call(api_client& client, std::size_t host, int added_by, int time_left_ms)
    {
        versioned_call made{.host = host, .added_by = added_by};
        const auto path = added_by == 0 ? "/bids/x" : path_of(added_by) + "x";
        made.sent = steady_clock::now();
        const auto answer = mesh_system::call(
            client, "v-" + std::to_string(++m_calls), path, {}, time_left_ms);
        made.ended = steady_clock::now();
        made.status = answer.status;
        for (const auto& each : m_system.hosts())
            if (each.target->id() == answer.target_id)
                made.ran_at = each.service;
        return made;
    }

    /** @return the versions from @p first to @p last that can have led
     * @p seen. */
    static std::vector<int>
    possible(const versioned_call& seen, int first, int last)
    {
        std::vector<int> found;
        for (int version = first; version <= last; ++version)
            if (can_lead(seen, version))
                found.push_back(version);
        return found;
    }

    /** @return whether only a version that had to be replaced when the call was
     * sent can have led it. */
    bool is_stale(const versioned_call& seen) const
    {
        return seen.tells_version() &&
               possible(seen, newest_at(seen.sent - bound),
                        newest_at(seen.ended))
                   .empty();
    }

    /** Calls what the newest version changed at @p host.
     * @return what shows an older version; empty if nothing does */
    std::string fault_at(std::size_t host)
    {
        api_client client(m_system.on().io(),
                          m_system.hosts()[host].at["caller"]);
        for (const int added_by : {newest(), 0, newest() - 2})
            if (const auto seen = call(client, host, added_by, 2'500);
                added_by >= 0 && is_stale(seen))
                return text_of(seen);
        return "";
    }

    std::string text_of(const versioned_call& seen) const
    {
        return "node " + std::to_string(seen.host) + ": " +
               (seen.added_by == 0
                    ? "a bid"
                    : "route of " + std::to_string(seen.added_by)) +
               " " + std::to_string(seen.status) + " " + seen.ran_at + ", " +
               std::to_string(newest_at(seen.sent - bound)) + " to " +
               std::to_string(newest_at(seen.ended)) + " in force";
    }

private:
    static const char* service_of(int version)
    {
        return version % 2 == 0 ? "beurs" : "schuur";
    }

    static std::string path_of(int version)
    {
        return "/added-" + std::to_string(version) + "/";
    }

    static bool can_lead(const versioned_call& seen, int version)
    {
        if (seen.added_by == 0)
            return seen.ran_at == service_of(version);
        const bool has_route =
            seen.added_by == version || seen.added_by + 1 == version;
        return has_route == !seen.ran_at.empty();
    }

    std::vector<mesh_route> routes() const
    {
        std::vector<mesh_route> made{{"bids", "/bids/", service_of(newest())},
                                     {"sales", "/sales/", "beurs"},
                                     {"stock", "/stock/", "schuur"}};
        for (int version = std::max(1, newest() - 1); version <= newest();
             ++version)
            made.push_back({"added-" + std::to_string(version),
                            path_of(version), "beurs"});
        return made;
    }

    mesh_system& m_system;
    int m_calls = 0;
    std::vector<time_point> m_puts; ///< of version i + 1
};

} // namespace tillerhall::harness
