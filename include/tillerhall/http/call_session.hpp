/** @file Serves the calls of one connection: read ahead, answered in order. */
#pragma once

#include "tillerhall/http/byte_backlog.hpp"
#include "tillerhall/http/cancel_scope.hpp"
#include "tillerhall/http/stream.hpp"
#include "tillerhall/http/whole_message.hpp"
#include "tillerhall/routing/call_route.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <functional>
#include <memory>

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
};

/**
 * One connection from a client. Requests that follow before the first is
 * answered run at once; answers go out in the order of the requests. The
 * connection is read all the time, so a client that leaves is seen at once
 * and its calls are cancelled.
 */
class call_session
{
public:
    /** Calls of one connection at once; what follows waits unread. */
    static constexpr std::size_t most_pending = 64;

    call_session(worker& on, tcp_stream& stream, const session_host& host);

    /** Serves until the connection ends and every call of it is done. */
    void run();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** One call between its reading and the writing of its answer. */
    struct pending_call
    {
        received_request request;
        cancel_scope scope;
        whole_response response;
        bool done = false;
        bool last = false; ///< the connection ends behind its answer
    };
    using pending_ptr = std::shared_ptr<pending_call>;

    enum class read_outcome
    {
        call,  ///< a whole request
        fault, ///< answer and end the connection
        ended  ///< nothing more will come
    };

    void read_all();
    read_outcome read_one(pending_call& into, request_fault& fault);
    read_outcome read_head(request_parser& parser,
                           const client_limits& limits,
                           request_fault& fault);
    bool read_body(request_parser& parser,
                   const client_limits& limits,
                   request_fault& fault);
    bool wait_for_bytes(const client_limits& limits);
    bool send_continue();
    void start(const pending_ptr& call);
    void finish(pending_call& call);
    void write_ready();
    bool write_one(pending_call& call);
    void wait_for_room();
    void wait_until_empty();
    void drop_all();
    void linger();

    worker& m_worker;
    tcp_stream& m_stream;
    const session_host& m_host;
    boost::beast::flat_buffer m_buffer;
    std::deque<pending_ptr> m_pending;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    bool m_writing = false;
    bool m_closing = false; ///< the last answer is out or the client is gone
};

} // namespace tillerhall
