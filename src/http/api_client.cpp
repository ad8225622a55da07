#include "tillerhall/http/api_client.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/http/fields.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::size_t max_idle = 4;
constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;
// Holds the largest head and one read of a body.
constexpr std::size_t max_buffer_bytes = 128 * 1024;
constexpr unsigned max_interim = 16;
// Limit of the whole time of an answer that arrives without long pauses.
constexpr std::chrono::seconds max_transfer(10);

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

using answer_parser = http::response_parser<http::string_body>;

/** Reads an answer that may take long as a whole, but not pause for long.
 * @param until end of the time for it and those after it, set by the first part
 * @return the bytes read, also if it failed. */
std::size_t read_in_parts(tcp_stream& stream,
                          boost::beast::flat_buffer& buffer,
                          answer_parser& parser,
                          const api_call& request,
                          std::optional<time_point>& until,
                          boost::system::error_code& failed)
{
    std::size_t bytes = 0;
    while (!failed && !parser.is_done())
    {
        bytes += http::async_read_some(stream, buffer, parser, await{failed});
        if (failed)
            break;
        if (request.on_part)
            request.on_part();
        const auto now = steady_clock::now();
        if (!until)
            until = now + max_transfer;
        stream.expires_at(
            std::min<time_point>(now + request.max_pause, *until));
    }
    return bytes;
}

/** Reads the final response; interim ones before it are skipped.
 * @return the bytes read, also if it failed. */
std::size_t read_final(tcp_stream& stream,
                       boost::beast::flat_buffer& buffer,
                       std::optional<answer_parser>& parser,
                       const api_call& request,
                       boost::system::error_code& failed)
{
    std::size_t bytes = 0;
    std::optional<time_point> until;
    for (unsigned interim = 0; interim <= max_interim; ++interim)
    {
        parser.emplace();
        parser->body_limit(max_answer_bytes);
        parser->skip(request.method == "HEAD");
        bytes +=
            request.max_pause > duration::zero()
                ? read_in_parts(stream, buffer, *parser, request, until, failed)
                : http::async_read(stream, buffer, *parser, await{failed});
        if (failed || !is_interim(parser->get()))
            break;
    }
    return bytes;
}

} // namespace

result<std::unique_ptr<tcp_stream>> api_client::take_stream(duration timeout)
{
    close_idle(steady_clock::now() - max_idle_time);
    while (!m_idle.empty())
    {
        auto stream = std::move(m_idle.back().stream);
        m_idle.pop_back();
        if (is_reusable(*stream))
            return stream;
    }
    return connect_stream(m_io, m_server, timeout);
}

void api_client::close_idle(time_point since)
{
    std::erase_if(m_idle, [since](const idle_stream& each)
                  { return each.answered < since; });
}

result<http_response> api_client::send(const api_call& request,
                                       duration timeout)
{
    auto taken = take_stream(timeout);
    if (!taken)
        return taken.reason();
    auto stream = std::move(*taken);
    const auto begin = steady_clock::now();
    stream->expires_after(timeout);
    const auto message = build(request, m_server);
    boost::system::error_code failed;
    http_response response;
    response.wire_out = http::async_write(*stream, message, await{failed});
    if (failed)
        return stream_error(failed, "cannot send to", m_server);
    boost::beast::flat_buffer buffer(max_buffer_bytes);
    std::optional<answer_parser> parser;
    response.wire_in = read_final(*stream, buffer, parser, request, failed);
    if (!failed && parser->need_eof())
        failed = await_clean_end(*stream, begin + timeout);
    if (failed == boost::beast::error::timeout)
        close_idle(begin);
    if (failed)
        return stream_error(failed,
                            "no whole answer, only " +
                                std::to_string(response.wire_in) +
                                " bytes, from",
                            m_server);
    auto& answer = parser->get();
    auto fault = response_fault(answer, message.method());
    if (is_interim(answer))
        fault = "too many interim responses came";
    if (!fault.empty())
        return error(error_code::connection_lost,
                     fault + ", from " + m_server.text());
    response.status = answer.result_int();
    response.content_type = std::string(answer[http::field::content_type]);
    response.body = std::move(answer.body());
    for (const auto& each : answer)
        response.fields[std::string(each.name_string())] =
            std::string(each.value());
    if (answer.keep_alive() && m_idle.size() < max_idle)
        m_idle.push_back({std::move(stream), steady_clock::now()});
    return response;
}

} // namespace tillerhall
