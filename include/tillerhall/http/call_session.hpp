/** @file Serves the calls of one connection: read ahead, answered in order. */
#pragma once

#include "tillerhall/http/byte_backlog.hpp"
#include "tillerhall/http/cancel_scope.hpp"
#include "tillerhall/http/link_turns.hpp"
#include "tillerhall/http/stream.hpp"
#include "tillerhall/http/whole_message.hpp"
#include "tillerhall/routing/call_route.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace tillerhall
{

class worker;

/** A request that was not understood, and how to answer it. */
struct request_fault
{
    unsigned status = 400;
    std::string detail;
};

/** What a session needs of the one that serves its calls. */
struct session_host
{
    /** Answers one call; called on a fiber of its own. */
    std::function<whole_response(received_request&, cancel_scope&)> answer;
    /** Answers a request that was not understood. */
    std::function<whole_response(const request_fault&)> refuse;
    /** @return the limits in force. */
    std::function<client_limits()> limits;
    /** @return whether connections should be ended at the next answer. */
    std::function<bool()> ending;
    /** Counts bodies while they are read; may be null. */
    byte_backlog* incoming = nullptr;
    /** Orders large answers on this host's link; may be null. */
    link_turns* outgoing = nullptr;
    /** Calls of all sessions that were read and whose answers are not out. */
    std::int64_t unanswered = 0;
};

/**
 * One connection from a client. Requests that follow before the first is
 * answered run at once; answers go out in the order of the requests. The
 * connection is read all the time, so a client that leaves is seen at once
 * and its calls are cancelled.
 *
 * A fiber runs only while there are bytes to read or calls to answer: most
 * connections rest, hundreds a node in a large fleet, and each stack that was
 * used once keeps some 16 KB. The session lives as long as any of its reads
 * or calls.
 */
class call_session : public std::enable_shared_from_this<call_session>
{
public:
    /** Calls of one connection at once; what follows waits unread. */
    static constexpr std::size_t most_pending = 64;

    /** Serves @p stream until it ends and every call of it is done. */
    static void
    serve(worker& on, std::shared_ptr<tcp_stream> stream, session_host& host);

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Counts one for as long as it lives. */
    class counted
    {
    public:
        explicit counted(std::int64_t& in) noexcept
            : m_in(in)
        {
            ++m_in;
        }
        ~counted() { --m_in; }
        counted(const counted&) = delete;
        counted& operator=(const counted&) = delete;

    private:
        std::int64_t& m_in;
    };

    /** One call between its reading and the writing of its answer. */
    struct pending_call
    {
        received_request request;
        cancel_scope scope;
        whole_response response;
        bool done = false;
        bool last = false; ///< the connection ends behind its answer
        std::optional<counted> unanswered; ///< from its reading on
    };
    using pending_ptr = std::shared_ptr<pending_call>;

    enum class read_outcome
    {
        call,  ///< a whole request
        fault, ///< answer and end the connection
        ended  ///< nothing more will come
    };

    call_session(worker& on,
                 std::shared_ptr<tcp_stream> stream,
                 session_host& host);

    void wait_for_bytes();
    void got_bytes(const boost::system::error_code& failed, std::size_t size);
    void read_calls();
    bool read_call();
    read_outcome read_one(pending_call& into, request_fault& fault);
    read_outcome read_head(request_parser& parser,
                           const client_limits& limits,
                           request_fault& fault);
    bool read_body(request_parser& parser,
                   const client_limits& limits,
                   request_fault& fault);
    bool send_continue();
    void start(const pending_ptr& call);
    /** @return whether the client has left, as far as a look is worth it. */
    bool has_disconnected();
    void finish(pending_call& call);
    void write_ready();
    void write_next();
    bool write_one(pending_call& call);
    void drop_all();
    void linger();

    worker& m_worker;
    std::shared_ptr<tcp_stream> m_stream;
    session_host& m_host;
    boost::beast::flat_buffer m_buffer;
    time_point m_arrived{}; ///< of what is in the buffer, at the earliest
    std::deque<pending_ptr> m_pending;
    std::unique_ptr<boost::asio::steady_timer> m_linger_end;
    bool m_reading = false;    ///< a read is under way or its bytes are handled
    bool m_input_done = false; ///< the client's last request was read
    bool m_writing = false;
    bool m_closing = false; ///< the last answer is out or the client is gone
};

} // namespace tillerhall
