#include "tillerhall/http/response_head.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/http/fields.hpp"

#include <algorithm>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::uint32_t max_head_bytes = 32 * 1024;
constexpr std::size_t max_read_bytes = 64 * 1024;
constexpr std::string_view head_end = "\r\n\r\n";

std::string_view text_of(const boost::beast::flat_buffer& buffer)
{
    const auto bytes = buffer.data();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
}

/** Reads until @p buffer holds a whole head. @return the head */
std::string_view read_head_text(tcp_stream& stream,
                                boost::beast::flat_buffer& buffer,
                                boost::system::error_code& failed)
{
    std::size_t searched = 0;
    while (true)
    {
        const auto text = text_of(buffer);
        const auto end = text.find(head_end, searched);
        if (end != std::string_view::npos)
            return text.substr(0, end + head_end.size());
        if (text.size() >= max_head_bytes)
            failed = http::error::header_limit;
        if (failed)
            return {};
        // The end of the head may be split between two reads.
        searched = text.size() - std::min(text.size(), head_end.size() - 1);
        const auto into =
            buffer.prepare(boost::beast::read_size(buffer, max_read_bytes));
        buffer.commit(stream.async_read_some(into, await{failed}));
    }
}

bool has_folded_line(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

} // namespace

std::string read_response_head(tcp_stream& stream,
                               boost::beast::flat_buffer& buffer,
                               response_head_parser& parser,
                               http::verb method,
                               boost::system::error_code& failed)
{
    parser.header_limit(max_head_bytes);
    parser.skip(method == http::verb::head);
    const auto head = read_head_text(stream, buffer, failed);
    if (failed)
        return "no whole response came";
    if (has_folded_line(head))
        return "a field of the response spans lines";
    const auto parsed =
        parser.put(boost::asio::const_buffer(head.data(), head.size()), failed);
    if (failed)
        return "the response is not valid";
    buffer.consume(parsed);
    return response_fault(parser.get(), method);
}

} // namespace tillerhall
