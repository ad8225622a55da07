/** @file Clients that use their connections until these close. */
#pragma once

#include "mesh_system.hpp"

#include "tillerhall/core/random.hpp"
#include "tillerhall/http/whole_message.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>

namespace tillerhall::harness
{

/** A path that clients request. */
struct client_route
{
    std::string path;
    bool is_unsafe = false;
    std::size_t max_body = 0; ///< bytes; requests without a body if 0
};

/** How clients behave. */
struct client_plan
{
    std::vector<client_route> routes; ///< drawn with equal chances
    std::uint64_t max_pipelined = 3;  ///< requests before the first answer
    /** Some requests stall for so long while they are sent. */
    duration stall{};
    /** A client waits for the time in Retry-After before its next request. */
    bool heeds_retry_after = false;
    /** One in so many requests is left unanswered; 0: none. */
    std::uint64_t leave_one_in = 0;
};

/** One request of a client. */
struct client_request
{
    std::string id;
    bool is_unsafe = false;
    bool is_sent = false;       ///< the whole of it
    unsigned status = 0;        ///< 0: the connection closed before the answer
    bool is_own_answer = false; ///< a success with the body for this request
    std::string error{};        ///< of the connection
    std::size_t entry = 0;      ///< index of the host
    std::uint64_t begun_ms = wall_clock_ms();
    time_point begun = steady_clock::now();
    duration ended_after{};
};

/** Clients that pipeline requests on kept connections. */
class pipelining_clients
{
public:
    pipelining_clients(mesh_system& system,
                       random_source& random,
                       client_plan plan)
        : m_system(system)
        , m_random(random)
        , m_plan(std::move(plan))
    {
    }

    void start(int count, time_point until)
    {
        m_open = count;
        for (int i = 0; i < count; ++i)
            m_system.on().spawn([this, until] { run(until); });
    }

    int open() const noexcept { return m_open; }
    const std::deque<client_request>& requests() const { return m_requests; }

private:
    void run(time_point until)
    {
        while (steady_clock::now() < until)
        {
            const auto entry = m_random.below(m_system.hosts().size());
            auto& host = m_system.hosts()[entry];
            auto stream = connect_stream(m_system.on().io(), host.at["caller"],
                                         std::chrono::seconds(1));
            if (stream)
                use(**stream, entry, until);
            else
                sleep_for(m_system.on().io(), milliseconds(50));
        }
        --m_open;
    }

    /** Sends requests until the connection closes. */
    void use(tcp_stream& stream, std::size_t entry, time_point until)
    {
        boost::beast::flat_buffer buffer;
        while (steady_clock::now() < until)
        {
            std::vector<client_request*> sent;
            const auto count = 1 + m_random.below(m_plan.max_pipelined);
            for (std::uint64_t i = 0; i < count; ++i)
                sent.push_back(&send(stream, entry));
            if (m_plan.leave_one_in != 0 &&
                m_random.below(m_plan.leave_one_in) == 0)
                return sleep_for(m_system.on().io(),
                                 milliseconds(m_random.below(100)));
            for (auto* each : sent)
                if (!read_answer(stream, buffer, *each))
                    return;
            sleep_for(m_system.on().io(), milliseconds(m_random.below(150)));
        }
    }

    client_request& send(tcp_stream& stream, std::size_t entry)
    {
        const auto& route = m_plan.routes[m_random.below(m_plan.routes.size())];
        auto& made = m_requests.emplace_back();
        made.id = "r-" + std::to_string(m_requests.size());
        made.entry = entry;
        made.is_unsafe = route.is_unsafe;
        const auto text = text_of(made.id, route);
        // Sometimes the request arrives in two parts, or stalls.
        const auto first =
            m_random.below(8) == 0 ? m_random.below(text.size()) : 0;
        made.is_sent = write(stream, text.substr(0, first));
        if (first > 0)
            sleep_for(m_system.on().io(),
                      m_random.below(8) == 0
                          ? m_plan.stall
                          : milliseconds(m_random.below(200)));
        made.is_sent = made.is_sent && write(stream, text.substr(first));
        return made;
    }

    std::string text_of(const std::string& id, const client_route& route)
    {
        const bool has_body = route.max_body != 0;
        const std::string body(
            has_body ? 1 + m_random.below(route.max_body) : 0, 'b');
        return (has_body ? "POST " : "GET ") + route.path +
               " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Attempt-Id: " +
               id + "\r\nX-Deadline-Ms: " + std::to_string(time_left_ms) +
               (has_body ? "\r\nContent-Length: " + std::to_string(body.size())
                         : "") +
               "\r\n\r\n" + body;
    }

    static bool write(tcp_stream& stream, const std::string& bytes)
    {
        boost::system::error_code failed;
        stream.expires_after(std::chrono::seconds(5));
        boost::asio::async_write(stream, boost::asio::buffer(bytes),
                                 await{failed});
        return !failed;
    }

    /** @return whether the connection may be used on. */
    bool read_answer(tcp_stream& stream,
                     boost::beast::flat_buffer& buffer,
                     client_request& into)
    {
        namespace http = boost::beast::http;
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_answer_bytes);
        boost::system::error_code failed;
        // Some clients are slow to read.
        if (m_random.below(4) == 0)
            sleep_for(m_system.on().io(), milliseconds(m_random.below(300)));
        stream.expires_after(std::chrono::seconds(8));
        http::async_read(stream, buffer, parser, await{failed});
        into.ended_after = steady_clock::now() - into.begun;
        into.error = failed ? failed.message() : "";
        if (failed)
            return false;
        const auto& answer = parser.get();
        into.status = answer.result_int();
        // The body may be filled up.
        into.is_own_answer =
            (answer.body() + '.').starts_with("answer to " + into.id + '.');
        if (into.status == refused_status && m_plan.heeds_retry_after)
            sleep_for(m_system.on().io(), retry_after(answer));
        return answer.keep_alive();
    }

    /** @return the time of Retry-After, up to a third of the client's time. */
    static duration retry_after(const whole_response& answer)
    {
        const std::string told(answer[boost::beast::http::field::retry_after]);
        const std::chrono::duration<double> span(
            told.empty() ? 0 : std::stod(told));
        return std::min(std::chrono::duration_cast<duration>(span),
                        duration(milliseconds(time_left_ms / 3)));
    }

    static constexpr int time_left_ms = 2'500;
    static constexpr std::size_t max_answer_bytes = 400'000;
    static constexpr unsigned refused_status = 503;

    mesh_system& m_system;
    random_source& m_random;
    client_plan m_plan;
    std::deque<client_request> m_requests; ///< references stay valid
    int m_open = 0;
};

} // namespace tillerhall::harness
