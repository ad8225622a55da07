/** @file An incoming call whose body is read on demand. */
#pragma once

#include "tillerhall/http/fields.hpp"
#include "tillerhall/http/stream.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <span>
#include <string>

namespace tillerhall
{

/** How reading a call's head ended. */
enum class head_status
{
    ok,
    closed,    ///< the connection was closed between two calls
    malformed, ///< answer 400
    too_large  ///< answer 431
};

/**
 * A request on a stream. The first part of its body, the prefix, is kept in
 * memory, so that a call whose body fits there can be retried; the rest is
 * forwarded in pieces.
 */
class inbound_call
{
public:
    static constexpr std::uint32_t max_head_bytes = 16 * 1024;
    static constexpr std::size_t max_prefix_bytes = 64 * 1024;
    /** Maximum of the bytes read ahead: a head, a chunk extension or the
     * trailer fields, and one read. */
    static constexpr std::size_t max_buffer_bytes = 128 * 1024;

    /** @param buffer bytes read ahead, shared by all calls of @p stream */
    inbound_call(tcp_stream& stream, boost::beast::flat_buffer& buffer);

    /** Reads the head, up to the deadline set on the stream. */
    head_status read_head();

    /** Reads the first part of the body into `prefix()`.
     * @return false if the connection failed. */
    bool read_prefix();

    /** @return whether the whole body is in `prefix()`. */
    bool has_whole_body() const { return m_parser.is_done(); }

    /** Reads the next piece after the prefix.
     * @return its size, 0 at the end of the body. */
    result<std::size_t> read_piece(std::span<char> into);

    const request_head& head() const { return m_parser.get().base(); }
    const std::string& prefix() const noexcept { return m_prefix; }

    /** @return true if the call can be sent again: nothing after the prefix was
     * read. */
    bool can_retry() const noexcept { return !m_pieces_read; }

    /** @return the Content-Length, if there is one. */
    std::optional<std::uint64_t> length() const;

    /** @return true if the connection can be kept for another call. */
    bool can_keep_alive() const
    {
        return m_parser.is_done() && m_parser.get().keep_alive();
    }

    /** @return whether the caller waits for 100 (Continue). */
    bool expects_continue() const;

    /** Sends 100 (Continue). @return false if the connection failed. */
    bool send_continue();

    tcp_stream& stream() noexcept { return m_stream; }

private:
    std::size_t read_into(std::span<char> into,
                          boost::system::error_code& failed);

    tcp_stream& m_stream;
    boost::beast::flat_buffer& m_buffer;
    boost::beast::http::request_parser<boost::beast::http::buffer_body>
        m_parser;
    std::string m_prefix;
    bool m_pieces_read = false;
};

} // namespace tillerhall
