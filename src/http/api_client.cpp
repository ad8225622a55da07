#include "tillerhall/http/api_client.hpp"
#include "tillerhall/core/await.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::size_t most_idle = 4;
constexpr std::size_t largest_answer = 64 * 1024 * 1024;

http::request<http::string_body> build(const api_call& made,
                                       const address& server)
{
    http::request<http::string_body> request;
    request.method_string(made.method);
    request.target(made.target);
    request.version(11);
    request.set(http::field::host,
                made.host.empty() ? server.text() : made.host);
    if (!made.token.empty())
        request.set(http::field::authorization, "Bearer " + made.token);
    for (const auto& [name, value] : made.fields)
        request.set(name, value);
    request.body() = made.body;
    request.prepare_payload();
    return request;
}

} // namespace

result<std::unique_ptr<tcp_stream>> api_client::take_stream(duration timeout)
{
    while (!m_idle.empty())
    {
        auto stream = std::move(m_idle.back());
        m_idle.pop_back();
        if (is_reusable(*stream))
            return stream;
    }
    return connect_stream(m_io, m_server, timeout);
}

result<http_response> api_client::send(const api_call& made, duration timeout)
{
    auto taken = take_stream(timeout);
    if (!taken)
        return taken.reason();
    auto stream = std::move(*taken);
    stream->expires_after(timeout);
    const auto request = build(made, m_server);
    boost::system::error_code failed;
    http_response response;
    response.wire_out = http::async_write(*stream, request, await{failed});
    if (failed)
        return stream_error(failed, "cannot send to", m_server);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(largest_answer);
    parser.skip(made.method == "HEAD");
    response.wire_in = http::async_read(*stream, buffer, parser, await{failed});
    if (failed)
        return stream_error(failed, "no whole answer from", m_server);
    auto& message = parser.get();
    response.status = message.result_int();
    response.content_type = std::string(message[http::field::content_type]);
    response.body = std::move(message.body());
    for (const auto& each : message)
        response.fields[std::string(each.name_string())] =
            std::string(each.value());
    if (message.keep_alive() && m_idle.size() < most_idle)
        m_idle.push_back(std::move(stream));
    return response;
}

} // namespace tillerhall
