#include "tillerhall/http/api_client.hpp"
#include "tillerhall/core/await.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::size_t max_idle = 4;
constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;

http::request<http::string_body> build(const api_call& request,
                                       const address& server)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host,
                request.host.empty() ? server.text() : request.host);
    if (!request.token.empty())
        message.set(http::field::authorization, "Bearer " + request.token);
    for (const auto& [name, value] : request.fields)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
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

result<http_response> api_client::send(const api_call& request,
                                       duration timeout)
{
    auto taken = take_stream(timeout);
    if (!taken)
        return taken.reason();
    auto stream = std::move(*taken);
    stream->expires_after(timeout);
    const auto message = build(request, m_server);
    boost::system::error_code failed;
    http_response response;
    response.wire_out = http::async_write(*stream, message, await{failed});
    if (failed)
        return stream_error(failed, "cannot send to", m_server);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    parser.skip(request.method == "HEAD");
    response.wire_in = http::async_read(*stream, buffer, parser, await{failed});
    if (failed)
        return stream_error(failed, "no whole answer from", m_server);
    auto& answer = parser.get();
    response.status = answer.result_int();
    response.content_type = std::string(answer[http::field::content_type]);
    response.body = std::move(answer.body());
    for (const auto& each : answer)
        response.fields[std::string(each.name_string())] =
            std::string(each.value());
    if (answer.keep_alive() && m_idle.size() < max_idle)
        m_idle.push_back(std::move(stream));
    return response;
}

} // namespace tillerhall
