#include "platform_standin/reporting_target.hpp"

#include "tillerhall/core/await.hpp"
#include "tillerhall/http/whole_message.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <sstream>
#include <utility>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr const char* id_field = "X-Request-Attempt-Id";
constexpr const char* seal_field = "X-Response-Seal";
constexpr const char* health_path = "/health";
constexpr std::chrono::minutes idle_timeout(5);
constexpr std::chrono::seconds report_timeout(3);

/** Reads the rest of the body. @return false if it is incomplete. */
bool read_rest(inbound_call& call)
{
    if (!call.read_prefix())
        return false;
    std::array<char, 16 * 1024> chunk{};
    while (true)
    {
        const auto size = call.read_piece(chunk);
        if (!size || *size == 0)
            return size.has_value();
    }
}

constexpr std::size_t endless_piece_bytes = 64 * 1024;

/** @return how an endless response begins. */
std::string endless_start(endless_response kind, const std::string& id)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const auto fields = std::string(seal_field) + ": proof\r\n";
    const auto own = std::string(id_field) + ": " + id + "\r\n";
    switch (kind)
    {
    case endless_response::head:
        return status;
    case endless_response::body:
        return status + own + fields + "\r\n";
    case endless_response::foreign_body:
        return status + fields + "\r\n";
    case endless_response::chunks:
        return status + own + fields + "Transfer-Encoding: chunked\r\n\r\n";
    case endless_response::chunk_head:
        return status + own + fields + "Transfer-Encoding: chunked\r\n\r\n1";
    default:
        return {};
    }
}

/** @return what follows, again and again. */
std::string endless_piece(endless_response kind)
{
    std::string unit = "x";
    if (kind == endless_response::head)
        unit = "X-More: of the same\r\n";
    else if (kind == endless_response::interim)
        unit = "HTTP/1.1 100 Continue\r\n\r\n";
    else if (kind == endless_response::chunk_head)
        unit = ";more=of-the-same";
    else if (kind == endless_response::chunks)
        unit = "400\r\n" + std::string(1024, 'x') + "\r\n";
    std::string piece;
    while (piece.size() + unit.size() <= endless_piece_bytes)
        piece += unit;
    return piece;
}

void reset(tcp_stream& stream)
{
    boost::system::error_code ignored;
    stream.socket().set_option(boost::asio::socket_base::linger(true, 0),
                               ignored);
    stream.socket().close(ignored);
}

std::string text_of(const whole_response& response)
{
    std::ostringstream text;
    text << response;
    return text.str();
}

} // namespace

reporting_target::reporting_target(worker& on,
                                   std::string id,
                                   std::string service)
    : m_worker(on)
    , m_listener(std::move(*listener::open(on, {"127.0.0.1", 0})))
    , m_where(m_listener->local())
    , m_reservation(m_where)
    , m_reported_at(m_where)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_random(std::hash<std::string>{}(m_id))
{
    m_listener->start([this](tcp_stream& stream) { serve(stream); });
}

bool reporting_target::consume(unsigned& remaining)
{
    if (remaining == 0)
        return false;
    --remaining;
    return true;
}

bool reporting_target::draw(unsigned& remaining, double share)
{
    return consume(remaining) || (share > 0 && m_random.unit() < share);
}

bool reporting_target::must_fail(std::string_view path)
{
    if (!path.starts_with(m_faults.failing_prefix) ||
        m_running < m_faults.failing_concurrency ||
        steady_clock::now() < m_faults.failing_from)
        return false;
    m_failure_carry += m_faults.failing;
    if (m_failure_carry < 1)
        return false;
    --m_failure_carry;
    return true;
}

void reporting_target::restart(std::string id)
{
    m_id = std::move(id);
    m_sequence = 0;
    m_is_leaving = false;
    if (!std::exchange(m_has_crashed, false))
        return;
    m_listener = std::move(*listener::open(m_worker, m_where));
    m_listener->start([this](tcp_stream& stream) { serve(stream); });
}

void reporting_target::crash()
{
    ++m_crash_count;
    m_has_crashed = true;
    m_listener->close();
    // The accept fiber still uses the listener, so it must not be destroyed.
    m_closed_listeners.push_back(std::move(m_listener));
    for (auto* each : m_streams)
        reset(*each);
}

unsigned reporting_target::report(const address& to, const std::string& state)
{
    return report(to, state, ++m_sequence);
}

unsigned reporting_target::report(const address& to,
                                  const std::string& state,
                                  std::uint64_t sequence)
{
    if (m_has_crashed)
        return 0;
    m_is_leaving = m_is_leaving || state == "draining";
    return send_report(to, m_id, m_start_time_ms, state, sequence);
}

unsigned reporting_target::report_late(const address& to,
                                       const std::string& id,
                                       std::uint64_t started_ms,
                                       std::uint64_t sequence)
{
    return send_report(to, id, started_ms, "ready", sequence);
}

unsigned reporting_target::send_report(const address& to,
                                       const std::string& id,
                                       std::uint64_t started_ms,
                                       const std::string& state,
                                       std::uint64_t sequence)
{
    boost::json::object body{
        {"service", m_service}, {"address", m_reported_at.text()},
        {"zone", "d1"},         {"version", m_release},
        {"slots", m_slots},     {"state", state},
        {"sequence", sequence}, {"coldRemaining", m_cold_for.count()}};
    if (started_ms != 0)
        body["born"] = started_ms;
    api_client client(m_worker.io(), to);
    const auto answer =
        client.call("POST", "/instances/" + id + "/heartbeat",
                    boost::json::serialize(body), report_timeout);
    return answer ? answer->status : 0;
}

unsigned reporting_target::leave(const address& to)
{
    m_is_leaving = true;
    api_client client(m_worker.io(), to);
    const auto answer = client.call(
        "POST", "/instances/" + m_id + "/deregister", "", report_timeout);
    return answer ? answer->status : 0;
}

void reporting_target::serve(tcp_stream& stream)
{
    m_streams.insert(&stream);
    serve_calls(stream);
    m_streams.erase(&stream);
    m_late_copies.erase(&stream);
}

void reporting_target::serve_calls(tcp_stream& stream)
{
    boost::beast::flat_buffer buffer;
    while (stream.socket().is_open())
    {
        inbound_call call(stream, buffer);
        stream.expires_after(idle_timeout);
        if (call.read_head() != head_status::ok || !serve_one(call))
            return;
    }
}

bool reporting_target::wait_for_close(tcp_stream& stream) const
{
    constexpr milliseconds poll_interval(10);
    while (!peer_has_closed(stream))
        sleep_for(m_worker.io(), poll_interval);
    return false;
}

bool reporting_target::send_late_copy(tcp_stream& stream)
{
    const auto found = m_late_copies.find(&stream);
    if (found == m_late_copies.end())
        return true;
    const auto text = std::move(found->second);
    m_late_copies.erase(found);
    boost::system::error_code failed;
    boost::asio::async_write(stream, boost::asio::buffer(text), await{failed});
    return !failed;
}

bool reporting_target::serve_one(inbound_call& call)
{
    if (!send_late_copy(call.stream()))
        return false;
    if (call.head().target() == health_path)
        return read_rest(call) && send(call, m_is_leaving ? 503 : 200, false);
    if (call.head()["X-Expect-Instance"] != m_id)
    {
        ++m_misdirected;
        return read_rest(call) && send(call, 421, true);
    }
    m_arrivals.push_back({std::string(call.head()[id_field]), m_id,
                          steady_clock::now(), m_start_time_ms});
    if (consume(m_faults.early_answers))
    {
        m_runs.push_back(
            {std::string(call.head()[id_field]), "", "", "", "", {}, "", ""});
        return send(call, 200, false) && read_rest(call);
    }
    const bool sheds = draw(m_faults.shed, m_faults.shed_share);
    if (sheds && m_faults.sheds_early)
        return send(call, 503, true) && read_rest(call);
    if (!read_rest(call))
        return false;
    if (sheds)
        return send(call, 503, true);
    if (consume(m_faults.unanswered))
        return wait_for_close(call.stream());
    const auto index = m_runs.size();
    m_runs.push_back({std::string(call.head()[id_field]),
                      std::string(call.head()["X-Caller-Service"]),
                      std::string(call.head().target()), call.prefix(),
                      std::string(call.head()["X-Deadline-Ms"]),
                      steady_clock::now(), std::string(call.head()["X-Tenant"]),
                      std::string(call.head()["Authorization"])});
    const auto crashes_before = m_crash_count;
    ++m_running;
    const bool injected_failure = must_fail(call.head().target());
    const bool crashes = call.head().target() == m_faults.crash_path;
    const bool on_run_failed =
        m_faults.on_run && !m_faults.on_run(std::string(m_runs[index].id));
    sleep_for(m_worker.io(), m_faults.work);
    --m_running;
    m_runs[index].ended = steady_clock::now();
    if (crashes && !m_has_crashed)
        crash();
    if (crashes_before != m_crash_count)
        return false;
    if (consume(m_faults.reset_answers))
    {
        reset(call.stream());
        return false;
    }
    m_endless_carry += m_faults.endless_share;
    if (m_faults.endless != endless_response::none && m_endless_carry >= 1)
    {
        --m_endless_carry;
        return send_endless(call);
    }
    const bool fails =
        consume(m_faults.fail) || injected_failure || on_run_failed;
    return send(call, fails ? 500 : 200, false);
}

bool reporting_target::send_endless(inbound_call& call)
{
    const auto begin = steady_clock::now();
    endless_record record{.id = std::string(call.head()[id_field])};
    auto text = endless_start(m_faults.endless, record.id);
    const auto piece = endless_piece(m_faults.endless);
    boost::system::error_code failed;
    while (!failed)
    {
        call.stream().expires_after(idle_timeout);
        record.bytes += boost::asio::async_write(
            call.stream(), boost::asio::buffer(text), await{failed});
        text = piece;
    }
    record.took = steady_clock::now() - begin;
    m_endless_records.push_back(record);
    return false;
}

bool reporting_target::send(inbound_call& call, unsigned status, bool not_run)
{
    whole_response response(static_cast<http::status>(status), 11);
    response.set(id_field, call.head()[id_field]);
    response.set("X-Instance-Id", m_id);
    if (!m_faults.rate_limit.empty())
        response.set("Server-Limit", m_faults.rate_limit);
    const bool is_run = !not_run && call.head().target() != health_path;
    const unsigned answered = is_run && m_faults.load_includes_run ? 1 : 0;
    if (m_faults.reports_load)
        response.set("X-Backend-Load",
                     std::to_string(m_running + answered) + ",0," +
                         std::to_string(m_slots) + ',' +
                         std::to_string(m_faults.load_percent));
    if (m_faults.leaving)
        response.set("Server-Leaving", "1");
    if (not_run)
        response.set("X-Not-Executed", "1");
    else if (!consume(m_faults.unsealed_answers))
        response.set(seal_field, "proof-" + m_id);
    response.body() = "answer to " + std::string(call.head()[id_field]);
    if (is_run)
        response.body().resize(
            std::max(response.body().size(), m_faults.body_bytes), '.');
    response.prepare_payload();
    auto text = text_of(response);
    if (draw(m_faults.late_copies, m_faults.copy_share))
        m_late_copies[&call.stream()] = text;
    const bool truncated = consume(m_faults.truncated_answers);
    if (truncated)
        text.resize(text.size() - 3);
    else if (consume(m_faults.duplicate_answers))
        text += text;
    boost::system::error_code failed;
    call.stream().expires_after(idle_timeout);
    boost::asio::async_write(call.stream(), boost::asio::buffer(text),
                             await{failed});
    if (truncated)
        reset(call.stream());
    return !failed && !truncated;
}

} // namespace tillerhall
