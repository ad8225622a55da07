#include "target_standin.hpp"

#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cstdlib>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr const char* not_run_header = "X-Not-Run";
constexpr const char* rate_limit_header = "Tillerhall-Rate-Limit";
constexpr milliseconds sample_interval(20);
constexpr std::chrono::minutes idle_timeout(5);
constexpr std::size_t chunk_bytes = 64 * 1024;

struct behaviour_entry
{
    std::string_view name;
    std::int64_t target_behaviour::*field;
};

constexpr std::array behaviour_table{
    behaviour_entry{"slots", &target_behaviour::slots},
    behaviour_entry{"connections", &target_behaviour::connections},
    behaviour_entry{"service_ms", &target_behaviour::service_ms},
    behaviour_entry{"cold_ms", &target_behaviour::cold_ms},
    behaviour_entry{"cold_factor", &target_behaviour::cold_factor},
    behaviour_entry{"rate_limit", &target_behaviour::rate_limit},
    behaviour_entry{"shed", &target_behaviour::shed},
    behaviour_entry{"drain", &target_behaviour::drain},
    behaviour_entry{"lie_healthy", &target_behaviour::lie_healthy},
    behaviour_entry{"fail", &target_behaviour::fail},
    behaviour_entry{"status", &target_behaviour::status},
    behaviour_entry{"hang", &target_behaviour::hang},
    behaviour_entry{"health_lag_ms", &target_behaviour::health_lag_ms},
    behaviour_entry{"reset_before_answer",
                    &target_behaviour::reset_before_answer},
    behaviour_entry{"reset_mid_answer", &target_behaviour::reset_mid_answer},
};

struct count_entry
{
    std::string_view name;
    std::int64_t target_counts::*field;
};

constexpr std::array count_table{
    count_entry{"runs", &target_counts::runs},
    count_entry{"running", &target_counts::running},
    count_entry{"most_running", &target_counts::max_running},
    count_entry{"open", &target_counts::open},
    count_entry{"most_open", &target_counts::max_open},
    count_entry{"shed", &target_counts::shed},
    count_entry{"cancelled", &target_counts::cancelled},
    count_entry{"deadline_passed", &target_counts::deadline_passed},
    count_entry{"over_slots", &target_counts::over_slots},
    count_entry{"last_run_us", &target_counts::last_run_us},
};

http_response respond(unsigned status, const json::value& body)
{
    http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

std::int64_t parse_number(const std::string& text, std::int64_t fallback)
{
    std::int64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

bool is_own_path(const std::string& path)
{
    return path == "/health" || path == "/load" || path.starts_with("/admin/");
}

http_request to_request(inbound_call& call)
{
    http_request request;
    request.method = std::string(call.head().method_string());
    parse_target(std::string(call.head().target()), request);
    request.body = call.prefix();
    return request;
}

void reset(tcp_stream& stream)
{
    boost::system::error_code ignored;
    stream.socket().set_option(boost::asio::socket_base::linger(true, 0),
                               ignored);
    stream.socket().close(ignored);
}

} // namespace

target_standin::target_standin(worker& on, std::string name)
    : m_worker(on)
    , m_name(std::move(name))
    , m_start(steady_clock::now())
{
    m_worker.spawn([this] { sample(); });
}

void target_standin::sample()
{
    constexpr std::size_t max_samples = 3000;
    while (true)
    {
        m_samples.push_back(
            {steady_clock::now(), m_behaviour.drain != 0, m_counts.running});
        if (m_samples.size() > max_samples)
            m_samples.pop_front();
        sleep_for(m_worker.io(), sample_interval);
    }
}

target_standin::load_sample target_standin::lagged_load()
{
    load_sample shown{steady_clock::now(), m_behaviour.drain != 0,
                      m_counts.running};
    if (m_behaviour.health_lag_ms == 0)
        return shown;
    const auto cutoff =
        steady_clock::now() - milliseconds(m_behaviour.health_lag_ms);
    shown.draining = false;
    for (const auto& each : m_samples)
        if (each.at <= cutoff)
            shown = each;
    return shown;
}

bool target_standin::set_behaviour(const json::object& body)
{
    for (const auto& each : body)
    {
        const std::string_view name = each.key();
        const auto found =
            std::ranges::find(behaviour_table, name, &behaviour_entry::name);
        if (found == behaviour_table.end())
            return false;
        m_behaviour.*found->field = each.value().to_number<std::int64_t>();
    }
    return true;
}

http_response target_standin::answer(const http_request& request)
{
    if (request.path == "/health")
    {
        const bool healthy =
            m_behaviour.lie_healthy != 0 || !lagged_load().draining;
        return respond(healthy ? 200 : 503, json::object{{"well", healthy}});
    }
    if (request.path == "/load")
        return respond(200, json::object{{"running", lagged_load().running},
                                         {"slots", m_behaviour.slots}});
    if (request.path == "/admin/runs")
    {
        json::object runs;
        for (const auto& [id, count] : m_runs)
            runs[id] = count;
        return respond(200, runs);
    }
    if (request.path == "/admin/stats")
    {
        json::object counts;
        for (const auto& each : count_table)
            counts[each.name] = m_counts.*each.field;
        return respond(200, counts);
    }
    if (request.path == "/admin/behave")
    {
        boost::system::error_code failed;
        const auto body = json::parse(request.body, failed);
        const bool known =
            !failed && body.is_object() && set_behaviour(body.as_object());
        return respond(known ? 200 : 400, json::object{{"known", known}});
    }
    return respond(404, json::object{});
}

void target_standin::serve(tcp_stream& stream)
{
    ++m_counts.open;
    m_counts.max_open = std::max(m_counts.max_open, m_counts.open);
    boost::beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive)
    {
        inbound_call call(stream, buffer);
        stream.expires_after(idle_timeout);
        if (call.read_head() != head_status::ok)
            break;
        serve_call(call);
        keep_alive = stream.socket().is_open() && call.can_keep_alive();
    }
    --m_counts.open;
}

void target_standin::serve_call(inbound_call& call)
{
    std::string target(call.head().target());
    if (is_own_path(target.substr(0, target.find('?'))))
    {
        if (call.read_prefix())
            send_response(call, answer(to_request(call)));
        return;
    }
    if (m_behaviour.shed != 0 || m_counts.running >= m_behaviour.slots)
    {
        m_counts.over_slots += m_behaviour.shed == 0 ? 1 : 0;
        ++m_counts.shed;
        if (call.read_prefix())
            send_refusal(call);
        return;
    }
    ++m_counts.running;
    m_counts.max_running = std::max(m_counts.max_running, m_counts.running);
    run_call(call);
    --m_counts.running;
}

void target_standin::run_call(inbound_call& call)
{
    ++m_counts.runs;
    m_counts.last_run_us = wall_clock_us();
    ++m_runs[std::string(call.head()[field_name::request_id])];
    std::uint64_t bytes = 0;
    if (!read_rest(call, bytes))
    {
        ++m_counts.cancelled;
        return;
    }
    const auto request = to_request(call);
    auto ms = parse_number(request.param("sleep_ms"), m_behaviour.service_ms);
    const auto age = to_ms(steady_clock::now() - m_start);
    if (age < m_behaviour.cold_ms)
        ms *= m_behaviour.cold_factor;
    const std::string deadline(call.head()[field_name::deadline]);
    if (!deadline.empty() && parse_number(deadline, 0) < ms)
        ++m_counts.deadline_passed;
    if (!simulate_service(call, ms))
    {
        ++m_counts.cancelled;
        return;
    }
    if (m_behaviour.reset_before_answer > 0)
    {
        --m_behaviour.reset_before_answer;
        return reset(call.stream());
    }
    send_answer(call, bytes);
}

bool target_standin::read_rest(inbound_call& call, std::uint64_t& bytes)
{
    call.stream().expires_after(idle_timeout);
    if (!call.read_prefix())
        return false;
    bytes = call.prefix().size();
    std::vector<char> chunk(chunk_bytes);
    while (true)
    {
        const auto size = call.read_piece(chunk);
        if (!size)
            return false;
        if (*size == 0)
            return true;
        bytes += *size;
    }
}

bool target_standin::simulate_service(inbound_call& call, std::int64_t ms)
{
    constexpr std::int64_t check_ms = 10;
    const auto until = steady_clock::now() + milliseconds(ms);
    while (m_behaviour.hang != 0 || steady_clock::now() < until)
    {
        const auto left = until - steady_clock::now();
        const bool last =
            m_behaviour.hang == 0 && left < milliseconds(check_ms);
        sleep_for(m_worker.io(), last ? left : milliseconds(check_ms));
        // The node closes the connection to cancel a call.
        if (!last && !is_reusable(call.stream()))
            return false;
    }
    return true;
}

void target_standin::name_rate_limit(http::fields& head) const
{
    if (m_behaviour.rate_limit >= 0)
        head.set(rate_limit_header, std::to_string(m_behaviour.rate_limit));
}

void target_standin::send_answer(inbound_call& call, std::uint64_t bytes)
{
    const auto request = to_request(call);
    if (!request.param("end").empty())
        std::_Exit(1); // simulates a crash caused by the call
    const auto size = parse_number(request.param("answer_bytes"), 0);
    http::response<http::string_body> response(
        m_behaviour.fail != 0 ? http::status::internal_server_error
                              : http::status::ok,
        11);
    if (m_behaviour.status >= 0)
        response.result(static_cast<unsigned>(m_behaviour.status));
    json::object body{{"target", m_name},
                      {"id", std::string(call.head()[field_name::request_id])},
                      {"bytes", bytes},
                      {"path", request.path}};
    if (size > 0)
        body["fill"] = std::string(static_cast<std::size_t>(size), 'x');
    response.set(http::field::content_type, "application/json");
    name_rate_limit(response);
    response.body() = json::serialize(body);
    response.prepare_payload();
    response.keep_alive(call.can_keep_alive());
    if (call.head().method() == http::verb::head)
        response.body().clear();
    call.stream().expires_after(idle_timeout);
    boost::system::error_code failed;
    if (m_behaviour.reset_mid_answer > 0)
    {
        --m_behaviour.reset_mid_answer;
        response.body().resize(response.body().size() / 2);
        http::response_serializer<http::string_body> serializer(response);
        http::async_write(call.stream(), serializer, await{failed});
        return reset(call.stream());
    }
    http::async_write(call.stream(), response, await{failed});
}

void target_standin::send_refusal(inbound_call& call)
{
    http::response<http::string_body> response(
        http::status::service_unavailable, 11);
    response.set(not_run_header, "1");
    name_rate_limit(response);
    response.set(http::field::retry_after, "1");
    response.prepare_payload();
    response.keep_alive(call.can_keep_alive());
    boost::system::error_code failed;
    http::async_write(call.stream(), response, await{failed});
}

void target_standin::send_response(inbound_call& call,
                                   const http_response& content)
{
    http::response<http::string_body> response(
        static_cast<http::status>(content.status), 11);
    response.body() = content.body;
    response.prepare_payload();
    response.keep_alive(call.can_keep_alive());
    boost::system::error_code failed;
    http::async_write(call.stream(), response, await{failed});
}

} // namespace tillerhall
