#include "tillerhall/http/fields.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::array hop_fields{http::field::connection,
                                http::field::keep_alive,
                                http::field::proxy_authenticate,
                                http::field::proxy_authorization,
                                http::field::proxy_connection,
                                http::field::te,
                                http::field::trailer,
                                http::field::transfer_encoding,
                                http::field::upgrade,
                                http::field::expect};

/** @return whether the body has no transfer coding, or chunked alone. */
bool has_known_coding(const http::fields& head)
{
    const auto codings = head.count(http::field::transfer_encoding);
    return codings == 0 ||
           (codings == 1 &&
            boost::beast::iequals(head[http::field::transfer_encoding],
                                  "chunked"));
}

bool has_valid_status(const response_head& head)
{
    return http::to_status_class(head.result_int()) !=
               http::status_class::unknown &&
           head.result() != http::status::switching_protocols;
}

} // namespace

void remove_hop_fields(http::fields& fields)
{
    std::vector<std::string> named;
    for (const auto token : http::token_list(fields[http::field::connection]))
        named.emplace_back(token);
    for (const auto& name : named)
        fields.erase(name);
    for (const auto each : hop_fields)
        fields.erase(each);
}

void remove_mesh_fields(http::fields& fields)
{
    for (const auto name : {field_name::outcome, field_name::caller,
                            field_name::load, field_name::replay})
        fields.erase(name);
}

std::string response_fault(const response_head& head, http::verb method)
{
    if (!has_valid_status(head))
        return "the response has no valid status";
    // These have no body; their field names the coding of another response.
    const bool has_no_body = method == http::verb::head ||
                             head.result() == http::status::not_modified;
    if (!has_no_body && !has_known_coding(head))
        return "the only transfer coding taken is chunked";
    return {};
}

bool is_interim(const response_head& head)
{
    // result() is `unknown` for a status that Beast has no name for.
    return http::to_status_class(head.result_int()) ==
           http::status_class::informational;
}

std::string framing_fault(const request_head& head)
{
    if (head.count(http::field::host) != 1)
        return "there must be one Host field that names the service";
    const bool has_length = head.count(http::field::content_length) != 0;
    if (has_length && head.count(http::field::transfer_encoding) != 0)
        return "Content-Length and Transfer-Encoding stand together";
    if (head.count(http::field::content_length) > 1)
        return "Content-Length stands twice";
    if (!has_known_coding(head))
        return "the only Transfer-Encoding taken is chunked";
    return {};
}

std::string host_service(const request_head& head)
{
    const std::string_view host = head[http::field::host];
    return std::string(host.substr(0, host.find(':')));
}

bool is_idempotent_method(http::verb method) noexcept
{
    constexpr std::array idempotent{http::verb::get,     http::verb::head,
                                    http::verb::options, http::verb::trace,
                                    http::verb::put,     http::verb::delete_};
    return std::ranges::find(idempotent, method) != idempotent.end();
}

} // namespace tillerhall
