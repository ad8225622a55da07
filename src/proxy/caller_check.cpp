#include "tillerhall/proxy/caller_check.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::string_view scheme = "Bearer";

/** @return the key of a field "Bearer KEY", empty if it has another form. */
std::string_view key_in(std::string_view field)
{
    const auto cut = field.find(' ');
    if (cut == std::string_view::npos ||
        !boost::beast::iequals(field.substr(0, cut), scheme))
        return {};
    const auto begin = field.find_first_not_of(' ', cut);
    return begin == std::string_view::npos ? std::string_view()
                                           : field.substr(begin);
}

} // namespace

caller_identity identify_caller(const whole_request& request,
                                const call_routes& routes,
                                const call_route& route,
                                const caller_evidence& evidence)
{
    const auto* accounts = routes.accounts();
    if (accounts == nullptr)
        return {};
    const auto given = request.count(http::field::authorization);
    if (given == 0)
    {
        if (evidence.made_by_run)
            return {caller_status::target};
        if (route.is_open)
            return {};
        return {evidence.looks_nested ? caller_status::unverified
                                      : caller_status::unauthenticated};
    }
    const auto key = key_in(request[http::field::authorization]);
    const auto* holder =
        given > 1 || key.empty() ? nullptr : accounts->holder_of(key);
    if (holder == nullptr)
        return {caller_status::unauthenticated};
    return {caller_status::account, holder};
}

} // namespace tillerhall
