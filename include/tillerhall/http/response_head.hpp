/** @file Reads and checks the heads of responses. */
#pragma once

#include "tillerhall/http/stream.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <string>

namespace tillerhall
{

/** Reads a head, and a body piece by piece. */
using response_head_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/**
 * Reads the head of a response, which may be an interim one, into @p parser;
 * bytes that follow it stay in @p buffer. A head with a line that begins with a
 * blank is refused (RFC 9112, 5.2): the parser would join that line with the
 * value of the field before it.
 * @param method of the request that is answered
 * @param failed error of the stream or of the parser, if any
 * @return why no valid head came, without the message of @p failed; empty if
 * one did
 */
std::string read_response_head(tcp_stream& stream,
                               boost::beast::flat_buffer& buffer,
                               response_head_parser& parser,
                               boost::beast::http::verb method,
                               boost::system::error_code& failed);

} // namespace tillerhall
