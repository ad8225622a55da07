#include "tillerhall/http/call_session.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;
using unsent_limit_option =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

// Added to the timeouts of reading while calls of the connection are running,
// and to those of a request: a timeout of the stream closes it, which would end
// the calls and could reset an answer.
constexpr std::chrono::seconds max_call_time(60);
// The longest that a body waits for memory.
constexpr std::chrono::seconds max_memory_wait(20);
// A body waits for memory for at most one of so many parts of the time that its
// call has; the rest is needed to read it and to run the call.
constexpr int body_wait_parts = 2;
// A read takes as much as the buffer holds, 512 bytes at least: a large body
// read in such pieces takes many times the processor time.
constexpr std::size_t max_read_bytes = 64 * 1024;
// After the last answer the input is read and discarded for so long, and on
// while the client has not received all: closing with unread bytes would reset
// the connection and lose the answer.
constexpr std::chrono::seconds linger_time(1);
// A worker that has been busy for less than this reads a close soon enough.
constexpr milliseconds busy_check_limit(20);
// Typical size of a response head with packet headers, for the link scheduler.
constexpr std::uint64_t head_bytes = 300;
// A response that a client reads slowly fills the socket only so far; what is
// read from a larger buffer would show as progress too late.
constexpr int max_unsent_bytes = 32 * 1024;
// A client that moves less makes no progress.
constexpr std::size_t progress_bytes = 4 * 1024;
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";

request_fault fault_for(const boost::system::error_code& failed)
{
    if (failed == http::error::header_limit)
        return {431, "the head is over the limit in force"};
    if (failed == http::error::body_limit)
        return {413, "the body is over the limit in force"};
    if (failed == http::error::buffer_overflow)
        return {431, "a chunk extension or the trailer fields are too long"};
    return {400, "not a request: " + failed.message()};
}

/** @return true if @p failed means input that is not a valid request. */
bool is_malformed(const boost::system::error_code& failed)
{
    return failed.category() ==
               http::make_error_code(http::error::bad_method).category() &&
           failed != http::error::end_of_stream &&
           failed != http::error::partial_message;
}

/** @return whether @p buffer has a complete head, so that none is awaited. */
bool holds_head(const boost::beast::flat_buffer& buffer)
{
    const auto bytes = buffer.data();
    return std::string_view(static_cast<const char*>(bytes.data()),
                            bytes.size())
               .find("\r\n\r\n") != std::string_view::npos;
}

} // namespace

call_session::call_session(worker& on,
                           std::shared_ptr<tcp_stream> stream,
                           session_host& host)
    : m_worker(on)
    , m_stream(std::move(stream))
    , m_host(host)
    , m_memory(host.memory, memory_use::connection)
{
    boost::system::error_code ignored;
    m_stream->socket().set_option(unsent_limit_option(max_unsent_bytes),
                                  ignored);
}

void call_session::serve(worker& on,
                         std::shared_ptr<tcp_stream> stream,
                         session_host& host)
{
    const std::shared_ptr<call_session> made(
        new call_session(on, std::move(stream), host));
    host.sessions.push_back(*made);
    if (!made->hold_memory())
        return;
    if (host.closes_idle)
        made->close_idle();
    else
        made->wait_for_bytes();
}

void session_host::close_idle()
{
    closes_idle = true;
    for (auto& each : sessions)
        each.close_idle();
}

bool session_host::is_delivering()
{
    return std::ranges::any_of(sessions, &open_session::is_delivering);
}

std::size_t call_session::undelivered_bytes()
{
    int bytes = 0;
    if (!m_stream->socket().is_open() ||
        ::ioctl(m_stream->socket().native_handle(), SIOCOUTQ, &bytes) != 0)
        return 0;
    return static_cast<std::size_t>(bytes);
}

bool call_session::is_delivering()
{
    return undelivered_bytes() != 0;
}

void call_session::close_idle()
{
    if (m_closing || !m_pending.empty())
        return;
    m_closing = true;
    // The request being read is discarded: its memory is needed by others.
    if (m_received != nullptr)
        m_stream->cancel();
    m_worker.spawn([self = shared_from_this()] { self->send_goaway(); });
}

void call_session::send_goaway()
{
    boost::system::error_code ignored;
    if (m_host.goaway)
    {
        const auto response = m_host.goaway();
        m_stream->expires_after(m_host.stall_timeout);
        http::async_write(*m_stream, response, await{ignored});
    }
    m_stream->socket().shutdown(boost::asio::socket_base::shutdown_send,
                                ignored);
    linger();
}

bool call_session::hold_memory(std::uint64_t buffer_bytes,
                               std::size_t new_calls)
{
    if (m_closing)
        return true;
    const auto calls =
        m_pending.size() + (m_received == nullptr ? 0 : 1) + new_calls;
    const auto bytes =
        idle_bytes + calls * call_bytes +
        std::max<std::uint64_t>(buffer_bytes, m_buffer.capacity());
    if (m_host.gives_way)
        return m_memory.take(bytes);
    m_memory.hold(bytes);
    return true;
}

void call_session::update_stall_order()
{
    if (!m_host.gives_way)
        return;
    const bool is_begun =
        m_sending || m_received != nullptr || m_closing || m_buffer.size() != 0;
    m_moved = 0;
    if (!m_sending && (m_awaits_memory || !m_pending.empty()))
        return stall_order_hook::unlink();
    auto& order = is_begun ? m_host.memory->begun() : m_host.memory->idle();
    order.progressed(*this, steady_clock::now());
}

void call_session::begin_transfer()
{
    update_stall_order();
    m_moved = 0;
    m_transfer_begun = steady_clock::now();
}

bool call_session::note_progress(std::size_t bytes)
{
    m_moved += bytes;
    if (m_moved < progress_bytes)
        return false;
    m_moved = 0;
    // A transfer that takes longer keeps its place, so that it is closed when
    // others need its memory.
    if (steady_clock::now() < m_transfer_begun + m_host.stall_timeout)
        update_stall_order();
    return true;
}

bool call_session::give_way()
{
    const bool is_idle = m_received == nullptr && !m_sending && !m_closing &&
                         m_buffer.size() == 0;
    boost::system::error_code failed;
    if (is_idle && m_stream->socket().available(failed) != 0)
        return false;
    stall_order_hook::unlink();
    close_and_cancel();
    // The fibers of the connection end when the worker runs them next.
    m_memory.release();
    if (m_received != nullptr)
        m_received->body.release();
    for (const auto& each : m_pending)
    {
        each->body.release();
        if (each->request.answer_memory)
            each->request.answer_memory->release();
    }
    return true;
}

void call_session::wait_for_bytes(std::size_t read_bytes)
{
    m_reading = true;
    update_stall_order();
    m_stream->expires_after(read_timeout(m_host.limits().idle_timeout));
    m_stream->async_read_some(
        m_buffer.prepare(read_bytes),
        [self = shared_from_this()](const boost::system::error_code& failed,
                                    std::size_t size)
        { self->on_read(failed, size); });
}

duration call_session::read_timeout(duration limit) const
{
    return m_pending.empty() ? limit : limit + max_call_time;
}

std::unique_ptr<boost::asio::steady_timer>
call_session::watch_request(duration limit)
{
    m_stream->expires_after(limit + max_call_time);
    if (!m_pending.empty())
        return nullptr;
    auto timer = std::make_unique<boost::asio::steady_timer>(m_worker.io());
    extend_watch(timer.get(), limit);
    return timer;
}

void call_session::extend_watch(boost::asio::steady_timer* timer,
                                duration limit)
{
    m_stream->expires_after(limit + max_call_time);
    if (timer == nullptr)
        return;
    timer->expires_after(limit);
    timer->async_wait(
        [self = shared_from_this()](const boost::system::error_code& failed)
        {
            if (!failed)
                self->close_idle(); // the request is discarded
        });
}

void call_session::on_read(const boost::system::error_code& failed,
                           std::size_t size)
{
    if (failed)
    {
        m_reading = false;
        if (m_linger_end)
            m_linger_end->cancel(); // the input has ended
        return m_closing ? void() : close_and_cancel();
    }
    m_arrived = m_worker.earliest_arrival();
    m_buffer.commit(size);
    update_stall_order();
    if (!m_closing) // m_reading stays set until the fiber has handled the bytes
        return m_worker.spawn([self = shared_from_this()]
                              { self->read_calls(); });
    // After the last answer: discard the input, see linger_time.
    m_buffer.clear();
    m_reading = false;
    if (m_stream->socket().is_open())
        wait_for_bytes(size < first_read_bytes ? first_read_bytes
                                               : max_read_bytes);
}

void call_session::read_calls()
{
    m_reading = true;
    bool more = true;
    bool has_room = true;
    while (more && m_buffer.size() != 0 && (has_room = has_room_for_call()))
        more = read_call();
    m_reading = false;
    if (!has_room && m_pending.empty())
    {
        close_and_cancel();
        more = false;
    }
    m_input_done = !more;
    if (m_input_done)
        m_buffer.clear(); // also the rest of an invalid request
    if (m_buffer.size() == 0)
    {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
    }
    hold_memory();
    const bool is_lingering = m_linger_end && m_stream->socket().is_open();
    // Without room for another call, write_ready resumes the reading.
    if (is_lingering || (more && has_room && m_pending.size() < max_pending))
        wait_for_bytes();
}

bool call_session::has_room_for_call()
{
    return m_pending.size() < max_pending && hold_memory(0, 1);
}

bool call_session::read_call()
{
    auto call = std::make_shared<pending_call>(m_host);
    request_fault fault;
    m_received = call.get();
    const auto outcome = read_request(*call, fault);
    m_received = nullptr;
    if (m_closing)
        return false; // requests after the last answer are discarded
    if (outcome == read_outcome::closed)
    {
        close_and_cancel();
        return false;
    }
    m_pending.push_back(call);
    update_stall_order();
    call->unanswered.emplace(m_host.unanswered);
    if (outcome != read_outcome::call)
    {
        if (outcome == read_outcome::fault)
            call->response = m_host.refuse(fault);
        call->last = true;
        finish(*call);
        return false;
    }
    call->last = !call->request.message.keep_alive();
    const bool last = call->last;
    start(call);
    return !last;
}

call_session::read_outcome call_session::read_head(request_parser& parser,
                                                   const client_limits& limits,
                                                   request_fault& fault)
{
    // The parser applies its limit to the head only; chunk extensions and
    // trailer fields are bounded by the buffer.
    m_buffer.max_size(
        std::max(m_buffer.size(), limits.head_bytes + max_read_bytes));
    parser.header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    parser.body_limit(limits.body_bytes);
    std::unique_ptr<boost::asio::steady_timer> watch;
    if (!holds_head(m_buffer))
    {
        if (!hold_memory(limits.head_bytes + first_read_bytes))
            return read_outcome::closed;
        update_stall_order();
        watch = watch_request(limits.head_timeout);
    }
    boost::system::error_code failed;
    http::async_read_header(*m_stream, m_buffer, parser, await{failed});
    if (!failed)
        return read_outcome::call;
    if (!is_malformed(failed))
        return read_outcome::closed;
    fault = fault_for(failed);
    return read_outcome::fault;
}

bool call_session::send_continue()
{
    boost::system::error_code failed;
    boost::asio::async_write(*m_stream, boost::asio::buffer(continue_line),
                             await{failed});
    return !failed;
}

time_point call_session::latest_end_of_body(const request_head& head,
                                            std::uint64_t bytes) const
{
    // The memory of a large body is not kept longer than the call can use it.
    return m_host.memory == nullptr || m_host.memory->is_minor(bytes)
               ? time_point::max()
               : steady_clock::now() + m_host.time_left(head);
}

void call_session::refuse_body(pending_call& into,
                               const request_head& head,
                               std::uint64_t bytes) const
{
    into.body.release();
    const auto wait = m_host.memory->expected_wait(m_host.request_kind, bytes);
    into.response =
        m_host.refuse_body(head, std::min<duration>(wait, max_memory_wait));
}

bool call_session::reserve_body(pending_call& into,
                                const request_head& head,
                                std::uint64_t bytes)
{
    if (m_host.memory == nullptr ||
        (m_host.memory->is_minor(bytes) && into.body.take(bytes)))
        return true;
    const auto left =
        std::min<duration>(max_memory_wait, m_host.time_left(head));
    const auto latest = into.request.received + left / body_wait_parts;
    m_awaits_memory = true;
    update_stall_order();
    const bool is_granted = into.body.wait_for(m_worker.io(), bytes, latest);
    m_awaits_memory = false;
    if (is_granted)
        return true;
    refuse_body(into, head, bytes);
    return false;
}

bool call_session::receive_body(pending_call& into,
                                request_parser& parser,
                                time_point latest,
                                boost::system::error_code& failed)
{
    const auto length = parser.content_length();
    const auto limit = [&]
    {
        return std::min<duration>(m_host.stall_timeout,
                                  latest - steady_clock::now());
    };
    const auto watch = watch_request(limit());
    // Otherwise each chunk takes a read of its own.
    parser.eager(true);
    begin_transfer();
    while (!failed && !m_closing && !parser.is_done())
    {
        const auto& body = parser.get().body();
        const auto read_bytes = std::min<std::uint64_t>(
            length.value_or(body.size()), max_read_bytes);
        bool fits = hold_memory(read_bytes);
        if (fits)
        {
            m_buffer.reserve(read_bytes);
            if (note_progress(http::async_read_some(*m_stream, m_buffer, parser,
                                                    await{failed})))
                extend_watch(watch.get(), limit());
            fits = length || into.body.grow_to(body.capacity());
        }
        if (!fits)
        {
            refuse_body(into, parser.get().base(), body.capacity());
            return false;
        }
    }
    return true;
}

call_session::read_outcome call_session::read_body(pending_call& into,
                                                   request_parser& parser,
                                                   const client_limits& limits,
                                                   request_fault& fault)
{
    const auto& head = parser.get().base();
    const auto length = parser.content_length().value_or(0);
    if (length > limits.body_bytes)
    {
        fault = {413, "the body is over the limit in force"};
        return read_outcome::fault;
    }
    if (!reserve_body(into, head, length))
        return read_outcome::refused;
    const bool awaits_continue =
        boost::beast::iequals(head[http::field::expect], "100-continue");
    // While an earlier call is pending, the client would take 100 (Continue)
    // for a response to it.
    if (awaits_continue && m_pending.empty() && !send_continue())
        return read_outcome::closed;
    const byte_backlog::body in_transit(m_host.incoming, length);
    boost::system::error_code failed;
    if (!receive_body(into, parser, latest_end_of_body(head, length), failed))
        return read_outcome::refused;
    if (!failed && !m_closing)
        return read_outcome::call;
    if (!is_malformed(failed))
        return read_outcome::closed;
    fault = fault_for(failed);
    return read_outcome::fault;
}

call_session::read_outcome call_session::read_request(pending_call& into,
                                                      request_fault& fault)
{
    request_parser parser;
    const auto limits = m_host.limits();
    if (const auto outcome = read_head(parser, limits, fault);
        outcome != read_outcome::call)
        return outcome;
    into.request.received = m_arrived;
    m_arrived = m_worker.earliest_arrival(); // of the bytes that follow
    if (const auto bad = framing_fault(parser.get().base()); !bad.empty())
    {
        fault = {400, bad};
        return read_outcome::fault;
    }
    if (!parser.is_done())
        if (const auto outcome = read_body(into, parser, limits, fault);
            outcome != read_outcome::call)
            return outcome;
    into.request.message = parser.release();
    return read_outcome::call;
}

void call_session::start(const pending_ptr& call)
{
    call->scope.set_disconnect_check([this] { return has_disconnected(); });
    m_worker.spawn(
        [this, self = shared_from_this(), call]
        {
            call->response = m_host.answer(call->request, call->scope);
            std::string().swap(call->request.message.body());
            call->body.release();
            finish(*call);
        });
}

bool call_session::has_disconnected()
{
    return m_worker.busy_for() > busy_check_limit && peer_has_closed(*m_stream);
}

void call_session::finish(pending_call& call)
{
    call.done = true;
    if (!m_writing)
        write_ready();
}

void call_session::write_ready()
{
    m_writing = true;
    while (!m_pending.empty() && m_pending.front()->done)
        write_next();
    m_writing = false;
    if (m_closing)
    {
        if (m_pending.empty())
            linger();
    }
    else if (!m_reading && !m_input_done)
    {
        m_reading = true; // it was paused at the maximum of pending calls
        m_worker.spawn([self = shared_from_this()] { self->read_calls(); });
    }
}

void call_session::write_next()
{
    const auto call = m_pending.front();
    // The connection stays open while later calls are pending.
    if (m_pending.size() == 1 &&
        (m_host.is_stopping() || !call->response.keep_alive()))
        call->last = true;
    const bool dropped = m_closing;
    // From here on no further request of the connection is handled.
    m_closing = m_closing || call->last;
    const bool written = !dropped && write_one(*call);
    m_pending.pop_front();
    update_stall_order();
    hold_memory();
    if (dropped)
        return;
    if (!written)
        return close_and_cancel();
    boost::system::error_code ignored;
    if (call->last)
        m_stream->socket().shutdown(boost::asio::socket_base::shutdown_send,
                                    ignored);
}

bool call_session::write_one(pending_call& call)
{
    call.response.version(11);
    call.response.keep_alive(!call.last);
    const bool has_body = call.request.message.method() != http::verb::head;
    if (!has_body)
        call.response.body().clear(); // Content-Length stays
    if (m_host.outgoing != nullptr)
        m_host.outgoing->await_slot(call.response.body().size() + head_bytes,
                                    call.request.answer_due);
    return send(call.response);
}

bool call_session::send(whole_response& response)
{
    m_sending = true;
    begin_transfer();
    m_stream->expires_after(m_host.stall_timeout);
    boost::system::error_code failed;
    http::response_serializer<http::string_body> serializer(response);
    while (!failed && !serializer.is_done())
        if (note_progress(
                http::async_write_some(*m_stream, serializer, await{failed})))
            m_stream->expires_after(m_host.stall_timeout);
    m_sending = false;
    return !failed;
}

void call_session::close_and_cancel()
{
    m_closing = true;
    boost::system::error_code ignored;
    m_stream->socket().close(ignored);
    for (const auto& each : std::deque(m_pending))
        each->scope.cancel();
}

void call_session::linger()
{
    if (!m_stream->socket().is_open() || m_linger_end)
        return;
    m_linger_end = std::make_unique<boost::asio::steady_timer>(m_worker.io());
    m_lingering.emplace(m_host.lingering);
    m_undelivered = undelivered_bytes();
    wait_for_client(steady_clock::now() + m_host.stall_timeout);
    if (!m_reading)
        wait_for_bytes();
}

void call_session::wait_for_client(time_point latest)
{
    m_linger_end->expires_after(linger_time);
    m_linger_end->async_wait(
        [self = shared_from_this(),
         latest](const boost::system::error_code& failed)
        {
            const auto now = steady_clock::now();
            const auto bytes = self->undelivered_bytes();
            const bool has_progressed =
                bytes + progress_bytes <= self->m_undelivered;
            if (has_progressed)
                self->m_undelivered = bytes;
            const auto until =
                has_progressed ? now + self->m_host.stall_timeout : latest;
            if (!failed && bytes != 0 && now < until)
                return self->wait_for_client(until);
            boost::system::error_code ignored;
            self->m_stream->socket().close(ignored);
            self->m_lingering.reset();
        });
}

} // namespace tillerhall
