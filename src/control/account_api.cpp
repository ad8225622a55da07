#include "tillerhall/control/account_api.hpp"

#include "tillerhall/node/operator_json.hpp"

#include <boost/json.hpp>
#include <charconv>

namespace tillerhall
{
namespace
{

constexpr const char* path = "/v1/accounts";
constexpr const char* default_limit = "50";

} // namespace

std::optional<http_response>
account_api::answer(const http_request& request) const
{
    if (request.path != path || request.method != "GET")
        return std::nullopt;
    const auto text = request.param("limit", default_limit);
    std::size_t limit = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, limit);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return respond(error(error_code::invalid_argument,
                             "limit \"" + text + "\" is not a number",
                             "write a whole number from 0 to " +
                                 std::to_string(account_usage::max_rows)));
    auto accounts = m_quotas.describe_accounts(limit, request.param("account"));
    if (!accounts)
        return respond(accounts.reason());
    return respond(200, std::move(*accounts));
}

} // namespace tillerhall
