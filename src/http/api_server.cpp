#include "tillerhall/http/api_server.hpp"
#include "tillerhall/core/await.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;
using request_parser = http::request_parser<http::string_body>;

// A read of a body, besides the head.
constexpr std::size_t max_read_bytes = 64 * 1024;

http_request to_request(const http::request<http::string_body>& from)
{
    http_request request;
    request.method = std::string(from.method_string());
    request.authorization = std::string(from[http::field::authorization]);
    request.body = from.body();
    parse_target(std::string(from.target()), request);
    return request;
}

unsigned status_for(const boost::system::error_code& failed)
{
    if (failed == http::error::header_limit ||
        failed == http::error::buffer_overflow)
        return 431;
    if (failed == http::error::body_limit)
        return 413;
    return 400;
}

/** @return true if the complete response was sent. */
bool send(tcp_stream& stream, const http_response& response, bool keep_alive)
{
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), 11);
    message.set(http::field::content_type, response.content_type);
    message.keep_alive(keep_alive);
    message.body() = response.body;
    message.prepare_payload();
    boost::system::error_code failed;
    http::async_write(stream, message, await{failed});
    return !failed;
}

void close(tcp_stream& stream)
{
    boost::system::error_code ignored;
    stream.socket().shutdown(boost::asio::socket_base::shutdown_both, ignored);
}

} // namespace

void serve_api(tcp_stream& stream,
               const api_handler& handle,
               const api_limits& limits)
{
    boost::beast::flat_buffer buffer(limits.header_bytes + max_read_bytes);
    bool keep_alive = true;
    while (keep_alive)
    {
        request_parser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser.body_limit(limits.body_bytes);
        stream.expires_after(limits.read_timeout);
        boost::system::error_code failed;
        http::async_read(stream, buffer, parser, await{failed});
        if (failed &&
            failed.category() ==
                http::make_error_code(http::error::bad_method).category() &&
            failed != http::error::end_of_stream)
            send(stream,
                 {status_for(failed), R"({"error":"bad_syntax","detail":")" +
                                          failed.message() + "\"}"},
                 false);
        if (failed)
            break;
        keep_alive = parser.get().keep_alive();
        const auto response = handle(to_request(parser.get()));
        if (response.drop)
            break;
        stream.expires_after(limits.read_timeout);
        keep_alive = send(stream, response, keep_alive) && keep_alive;
    }
    close(stream);
}

} // namespace tillerhall
