/** @file Serves the pipelined calls of one HTTP/1.1 connection. */
#pragma once

#include "tillerhall/http/byte_backlog.hpp"
#include "tillerhall/http/cancel_scope.hpp"
#include "tillerhall/http/link_scheduler.hpp"
#include "tillerhall/http/memory_account.hpp"
#include "tillerhall/http/stream.hpp"
#include "tillerhall/http/whole_message.hpp"
#include "tillerhall/routing/call_route.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/intrusive/list.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace tillerhall
{

class worker;

/** Status and detail of the answer to an invalid request. */
struct request_fault
{
    unsigned status = 400;
    std::string detail;
};

/** An open connection of a `session_host`. */
class open_session
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /** Closes the connection if no call of it is pending; requests that it
     * still receives do not run. */
    virtual void close_idle() = 0;

    /** @return whether the client has not received all that was sent. */
    virtual bool is_delivering() = 0;

protected:
    ~open_session() = default;
};

/** Callbacks and shared state of the sessions of one kind of client. */
struct session_host
{
    /** Closes all idle connections, and later ones at once. */
    void close_idle();

    /** @return whether a client has not received all that was sent to it. */
    bool is_delivering();

    /** Answers one call; runs on a fiber of its own. */
    std::function<whole_response(received_request&, cancel_scope&)> answer;
    /** Makes the answer to an invalid request. */
    std::function<whole_response(const request_fault&)> refuse;
    /** @return the limits in force. */
    std::function<client_limits()> limits;
    /** @return true if connections should close after the next answer. */
    std::function<bool()> is_stopping;
    /** Counts the bodies that are being read; may be null. */
    byte_backlog* incoming = nullptr;
    /** Schedules large answers on this host's link; may be null. */
    link_scheduler* outgoing = nullptr;
    /** Makes the response that is sent to no request before an idle connection
     * is closed; may be null. */
    std::function<whole_response()> goaway = nullptr;
    /** Memory for connections, and for the bodies of requests until they are
     * answered; may be null. */
    memory_account* memory = nullptr;
    /** Whether connections that wait for their clients may be closed when
     * memory or descriptors are short; needs `memory`. */
    bool gives_way = false;
    memory_use request_kind = memory_use::client_request;
    /** @return the time that a call has from its arrival; needed with
     * `memory`. */
    std::function<duration(const request_head&)> time_left = nullptr;
    /** Makes the response to a call whose body does not fit into memory and is
     * not read; needed with `memory`. */
    std::function<whole_response(const request_head&, duration retry_after)>
        refuse_body = nullptr;
    /** A client that moves less than 4 KiB of a body for so long is taken for
     * lost. Transfers that take longer than this give way to others. */
    duration stall_timeout = std::chrono::seconds(20);
    /** Calls of all sessions, from the read of the request until the answer
     * is sent. */
    std::int64_t unanswered = 0;
    /** Sessions whose last answer is sent and whose client has not closed the
     * connection; closing it now could reset it and lose the answer. */
    std::int64_t lingering = 0;
    bool closes_idle = false;
    boost::intrusive::list<open_session,
                           boost::intrusive::constant_time_size<false>>
        sessions;
};

/**
 * One connection from a client. Pipelined requests run concurrently; their
 * answers are sent in the order of the requests. The connection is read all
 * the time, so that the calls of a client that disconnects are cancelled.
 *
 * A fiber exists only while there are bytes to read or calls to answer, since
 * most connections are idle and each fiber stack takes memory. The session
 * lives as long as any of its reads or calls.
 */
class call_session final : public open_session,
                           public closable_connection,
                           public std::enable_shared_from_this<call_session>
{
public:
    /** Memory that is counted for an open connection, in bytes. */
    static constexpr std::uint64_t idle_bytes = 4 * 1024;
    /** Memory that is counted for a call besides its body, in bytes: the used
     * part of a fiber's stack, the fields, and the states of the proxy. */
    static constexpr std::uint64_t call_bytes = 24 * 1024;
    /** Concurrent calls of one connection; further requests stay unread. */
    static constexpr std::size_t max_pending = 64;

    /** Serves @p stream until it is closed and all its calls are done. */
    static void
    serve(worker& on, std::shared_ptr<tcp_stream> stream, session_host& host);

    void close_idle() override;
    bool is_delivering() override;
    bool give_way() override;

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** A typical request head; each idle connection holds a buffer of this
     * size. */
    static constexpr std::size_t first_read_bytes = 512;

    /** Adds one to a count while this object lives. */
    class scoped_count
    {
    public:
        explicit scoped_count(std::int64_t& count) noexcept
            : m_count(count)
        {
            ++m_count;
        }
        ~scoped_count() { --m_count; }
        scoped_count(const scoped_count&) = delete;
        scoped_count& operator=(const scoped_count&) = delete;

    private:
        std::int64_t& m_count;
    };

    /** One call, from its request until its answer is written. */
    struct pending_call
    {
        explicit pending_call(const session_host& host)
            : body(host.memory, host.request_kind)
        {
        }

        received_request request;
        memory_account::holding body; ///< of the request
        cancel_scope scope;
        whole_response response;
        bool done = false;
        bool last = false; ///< close the connection after its answer
        std::optional<scoped_count> unanswered; ///< set once it is read
    };
    using pending_ptr = std::shared_ptr<pending_call>;

    enum class read_outcome
    {
        call,    ///< a complete request
        fault,   ///< an invalid request: answer and close
        refused, ///< its body does not fit: send the response and close
        closed   ///< no further request will come
    };

    call_session(worker& on,
                 std::shared_ptr<tcp_stream> stream,
                 session_host& host);

    void wait_for_bytes(std::size_t read_bytes = first_read_bytes);
    /** @return the timeout of a read that may take @p limit by itself. */
    duration read_timeout(duration limit) const;
    /** Closes the session if the request that is being read takes longer than
     * @p limit, unless calls are running. @return keep it while reading */
    std::unique_ptr<boost::asio::steady_timer> watch_request(duration limit);
    /** Sets @p limit anew for a request that is being watched.
     * @param timer may be null: calls are running */
    void extend_watch(boost::asio::steady_timer* timer, duration limit);
    void on_read(const boost::system::error_code& failed, std::size_t size);
    void read_calls();
    bool read_call();
    /** @return whether another call may be read. */
    bool has_room_for_call();
    /**
     * Counts the memory of the connection and its calls, apart from bodies.
     * @param buffer_bytes size to which the read buffer may grow
     * @param new_calls calls that are about to begin
     * @return false if there is not enough
     */
    bool hold_memory(std::uint64_t buffer_bytes = 0, std::size_t new_calls = 0);
    /** Puts the connection into the order that its state belongs to. */
    void update_stall_order();
    /** Notes that a body begins to move. */
    void begin_transfer();
    /** Notes that the client has moved @p bytes of a body.
     * @return whether it has made progress */
    bool note_progress(std::size_t bytes);
    read_outcome read_request(pending_call& into, request_fault& fault);
    read_outcome read_head(request_parser& parser,
                           const client_limits& limits,
                           request_fault& fault);
    read_outcome read_body(pending_call& into,
                           request_parser& parser,
                           const client_limits& limits,
                           request_fault& fault);
    /** Waits for the memory of a body. @return false if it is refused */
    bool reserve_body(pending_call& into,
                      const request_head& head,
                      std::uint64_t bytes);
    /** Reads the rest of the body by @p latest.
     * @return false if its memory is refused */
    bool receive_body(pending_call& into,
                      request_parser& parser,
                      time_point latest,
                      boost::system::error_code& failed);
    void refuse_body(pending_call& into,
                     const request_head& head,
                     std::uint64_t bytes) const;
    /** @return when the body of @p head must have been read. */
    time_point latest_end_of_body(const request_head& head,
                                  std::uint64_t bytes) const;
    bool send_continue();
    void start(const pending_ptr& call);
    /** @return true if the client has closed the connection. Checks only on a
     * busy worker: otherwise the pending read reports it soon enough. */
    bool has_disconnected();
    void finish(pending_call& call);
    void write_ready();
    void write_next();
    bool write_one(pending_call& call);
    bool send(whole_response& response);
    void close_and_cancel();
    void send_goaway();
    void linger();
    /** Closes the connection after `linger_time`, or later while the client
     * still receives; not after @p latest, unless it makes progress. */
    void wait_for_client(time_point latest);
    /** @return the bytes that are sent and not acknowledged. */
    std::size_t undelivered_bytes();

    worker& m_worker;
    std::shared_ptr<tcp_stream> m_stream;
    session_host& m_host;
    boost::beast::flat_buffer m_buffer;
    time_point m_arrived{}; ///< earliest arrival of the bytes in the buffer
    memory_account::holding m_memory; ///< of the connection
    std::deque<pending_ptr> m_pending;
    pending_call* m_received = nullptr; ///< the call that is being read
    std::size_t m_moved = 0;            ///< bytes since the last progress
    time_point m_transfer_begun{};      ///< of the body that moves
    std::size_t m_undelivered = 0;      ///< after the last answer
    std::unique_ptr<boost::asio::steady_timer> m_linger_end;
    std::optional<scoped_count> m_lingering;
    bool m_reading = false;    ///< reading, or handling what was read
    bool m_input_done = false; ///< no further request will be read
    bool m_writing = false;
    bool m_sending = false;       ///< the client receives a response
    bool m_awaits_memory = false; ///< for the body that is read next
    bool m_closing =
        false; ///< the last answer is written or the stream is closed
};

} // namespace tillerhall
