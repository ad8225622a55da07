/** @file Fuzzes the parsing of request heads at the entry node. */
#include "tillerhall/http/inbound_call.hpp"
#include "tillerhall/http/message.hpp"
#include "tillerhall/node/call_context.hpp"

#include <boost/beast/http.hpp>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    using namespace tillerhall;
    namespace http = boost::beast::http;
    http::request_parser<http::empty_body> parser;
    parser.header_limit(inbound_call::max_head_bytes);
    boost::system::error_code failed;
    parser.put(boost::asio::const_buffer(data, size), failed);
    if (failed || !parser.is_header_done())
        return 0;
    const auto& head = parser.get().base();
    http_request parsed;
    parse_target(std::string(head.target()), parsed);
    if (!framing_fault(head).empty())
        return 0;
    const auto now = steady_clock::now();
    const auto context = read_context(head, now);
    const auto forwarded = forwarded_head(head, context, context.deadline, now);
    if (forwarded.count(field_name::outcome) != 0 ||
        forwarded.count(http::field::transfer_encoding) != 0)
        std::abort();
    (void)claim_key_of(head, "127.0.0.1");
    return 0;
}
