#include "tillerhall/routing/call_routes.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace tillerhall
{
namespace
{

constexpr std::array<std::string_view, 4> kind_names{
    "repeatable", "once", "large_once", "large_repeatable"};

std::string lower_host(std::string_view host)
{
    std::string lower(host.substr(0, host.find(':')));
    std::ranges::transform(lower, lower.begin(),
                           [](unsigned char c)
                           { return static_cast<char>(std::tolower(c)); });
    return lower;
}

/** @return what is wrong with @p route; empty if nothing is. */
std::string fault_of(const call_route& route)
{
    if (route.host.empty())
        return "has no host";
    if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
        route.path_prefix.back() != '/')
        return "has a path prefix that does not begin and end with a slash";
    if (route.timeout <= milliseconds::zero())
        return "has no timeout";
    if (route.max_targets == 0)
        return "allows no target for a call";
    if (route.shares.empty())
        return "names no service";
    const bool has_weight =
        std::ranges::any_of(route.shares, [](const service_share& each)
                            { return each.weight > 0; });
    return has_weight ? "" : "gives no service a weight above 0";
}

error refusal(const call_route& route, const std::string& fault)
{
    return error(error_code::invalid_argument,
                 "route \"" + route.name + "\" " + fault,
                 "correct the route; the previous version remains in force");
}

} // namespace

std::string_view name_of(call_kind kind) noexcept
{
    return kind_names[static_cast<std::size_t>(kind)];
}

result<call_routes_ptr> call_routes::build(std::uint64_t version,
                                           std::vector<call_route> routes,
                                           const client_limits& limits,
                                           version_extras extras)
{
    boost::intrusive_ptr<call_routes> made(new call_routes);
    made->m_version = version;
    made->m_limits = limits;
    made->m_extras = std::move(extras);
    made->m_routes = std::move(routes);
    for (std::size_t i = 0; i < made->m_routes.size(); ++i)
    {
        auto& route = made->m_routes[i];
        route.host = lower_host(route.host);
        if (const auto fault = fault_of(route); !fault.empty())
            return refusal(route, fault);
        if (!made->m_index.emplace(route.host + route.path_prefix, i).second)
            return refusal(route, "stands twice for its host and prefix");
    }
    return call_routes_ptr(std::move(made));
}

service_terms call_routes::terms_of(const std::string& service) const
{
    const auto found = m_extras.services.find(service);
    return found == m_extras.services.end() ? service_terms() : found->second;
}

const call_route* call_routes::find(std::string_view host,
                                    std::string_view target) const
{
    auto key = lower_host(host);
    const auto host_size = key.size();
    key += target.substr(0, target.find('?'));
    // Prefixes end with a slash, so only positions after a slash can match.
    while (key.size() > host_size)
    {
        key.resize(key.rfind('/') + 1);
        if (key.size() <= host_size)
            return nullptr;
        if (const auto found = m_index.find(key); found != m_index.end())
            return &m_routes[found->second];
        key.pop_back();
    }
    return nullptr;
}

} // namespace tillerhall
