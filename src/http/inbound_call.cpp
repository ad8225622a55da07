#include "tillerhall/http/inbound_call.hpp"
#include "tillerhall/core/await.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace tillerhall
{
namespace
{
namespace http = boost::beast::http;
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
} // namespace

inbound_call::inbound_call(tcp_stream& stream,
                           boost::beast::flat_buffer& buffer)
    : m_stream(stream)
    , m_buffer(buffer)
{
    // The parser applies its limit to the head only; chunk extensions and
    // trailer fields are bounded by the buffer.
    m_buffer.max_size(std::max(m_buffer.size(), max_buffer_bytes));
    m_parser.header_limit(max_head_bytes);
    m_parser.body_limit(boost::none);
}

head_status inbound_call::read_head()
{
    boost::system::error_code failed;
    http::async_read_header(m_stream, m_buffer, m_parser, await{failed});
    if (!failed)
        return head_status::ok;
    if (failed == http::error::header_limit)
        return head_status::too_large;
    const bool parse_error =
        failed.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        failed != http::error::end_of_stream &&
        failed != http::error::partial_message;
    return parse_error ? head_status::malformed : head_status::closed;
}

std::size_t inbound_call::read_into(std::span<char> into,
                                    boost::system::error_code& failed)
{
    auto& body = m_parser.get().body();
    body.data = into.data();
    body.size = into.size();
    body.more = true;
    http::async_read(m_stream, m_buffer, m_parser, await{failed});
    if (failed == http::error::need_buffer)
        failed = {};
    return into.size() - body.size;
}

bool inbound_call::read_prefix()
{
    if (m_parser.is_done())
        return true;
    if (expects_continue() && !send_continue())
        return false;
    const auto wanted = std::min<std::uint64_t>(
        max_prefix_bytes, length().value_or(max_prefix_bytes));
    m_prefix.resize(wanted);
    boost::system::error_code failed;
    const auto size = read_into(m_prefix, failed);
    m_prefix.resize(size);
    return !failed;
}

result<std::size_t> inbound_call::read_piece(std::span<char> into)
{
    if (m_parser.is_done())
        return std::size_t{0};
    m_pieces_read = true;
    boost::system::error_code failed;
    const auto size = read_into(into, failed);
    if (failed)
        return error(error_code::connection_lost,
                     "the caller's body broke off: " + failed.message());
    return size;
}

std::optional<std::uint64_t> inbound_call::length() const
{
    const auto known = m_parser.content_length();
    if (!known)
        return std::nullopt;
    return *known;
}

bool inbound_call::expects_continue() const
{
    return boost::beast::iequals(m_parser.get()[http::field::expect],
                                 "100-continue");
}

bool inbound_call::send_continue()
{
    boost::system::error_code failed;
    boost::asio::async_write(m_stream, boost::asio::buffer(continue_line),
                             await{failed});
    return !failed;
}

} // namespace tillerhall
