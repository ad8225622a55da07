/** @file One call that came in, its body read as far as it is needed. */
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
    closed,    ///< the connection ended between two calls
    malformed, ///< answer 400
    too_large  ///< answer 431
};

/**
 * A request on @p stream. The first part of its body is kept in memory, so
 * that a call whose whole body fits there can be sent again; the rest is
 * passed on piece by piece.
 */
class inbound_call
{
public:
    static constexpr std::uint32_t largest_head = 16 * 1024;
    static constexpr std::size_t largest_prefix = 64 * 1024;

    /** @param buffer holds bytes read ahead; shared by the calls of a stream */
    inbound_call(tcp_stream& stream, boost::beast::flat_buffer& buffer);

    /** Reads the head; waits for it up to the stream's own deadline. */
    head_status read_head();

    /** Reads the body's first part into `prefix()`. @return false if it broke.
     */
    bool read_prefix();

    /** @return whether the whole body is in `prefix()`. */
    bool is_whole() const { return m_parser.is_done(); }

    /** Reads the next piece after the prefix. @return its size, 0 at the end.
     */
    result<std::size_t> read_piece(std::span<char> into);

    const request_head& head() const { return m_parser.get().base(); }
    const std::string& prefix() const noexcept { return m_prefix; }

    /** @return whether nothing of the body but the prefix was passed on. */
    bool can_send_again() const noexcept { return !m_pieces_read; }

    /** @return the length of the body if the head tells it. */
    std::optional<std::uint64_t> length() const;

    /** @return whether the connection may carry another call afterwards. */
    bool can_keep_alive() const
    {
        return m_parser.is_done() && m_parser.get().keep_alive();
    }

    /** @return whether the caller waits for 100 (Continue). */
    bool expects_continue() const;

    /** Sends 100 (Continue). @return false if the stream broke. */
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
