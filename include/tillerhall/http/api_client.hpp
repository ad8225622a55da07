/** @file Calls small HTTP APIs over reused connections. */
#pragma once

#include "tillerhall/http/message.hpp"
#include "tillerhall/http/stream.hpp"

#include <functional>
#include <string>
#include <vector>

namespace tillerhall
{

/** A request to an API. */
struct api_call
{
    std::string method = "GET";
    std::string target = "/"; ///< path and query, percent-encoded
    std::string body;
    std::string token; ///< bearer token, empty for none
    std::string host;  ///< Host field, empty for the server's address
    std::map<std::string, std::string> fields; ///< additional header fields
    /** Longest pause between parts of an answer that has begun; zero: the
     * timeout of the call covers the complete answer. */
    duration max_pause{};
    /** Called for each part of such an answer; may be null. */
    std::function<void()> on_part;
};

/**
 * A client of one server, for fibers of one worker.
 *
 * An open connection can go silent without an error, for example when a
 * middlebox drops it. Only one that has answered within `max_idle_time` is used
 * again, and a call that times out closes all that have not answered since it
 * began, so that the next call opens a new one.
 */
class api_client
{
public:
    api_client(boost::asio::io_context& io, address server)
        : m_io(io)
        , m_server(std::move(server))
    {
    }

    /**
     * Sends one request and reads the complete answer.
     * @return the response, whatever its status. connection_failed means that
     * nothing was sent; connection_lost and timed_out mean that the outcome
     * is unknown.
     * @param timeout for the connection, and again for the answer: for its
     * first bytes if the call has a `max_pause`, else for all of it
     */
    result<http_response> send(const api_call& request, duration timeout);

    /** Sends a request without additional fields; see `send`. */
    result<http_response> call(const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               duration timeout,
                               const std::string& token = {})
    {
        return send(
            {.method = method, .target = target, .body = body, .token = token},
            timeout);
    }

    const address& server() const noexcept { return m_server; }

    static constexpr milliseconds max_idle_time{1'000};

private:
    struct idle_stream
    {
        std::unique_ptr<tcp_stream> stream;
        time_point answered; ///< its last answer
    };

    result<std::unique_ptr<tcp_stream>> take_stream(duration timeout);
    /** Closes the idle connections that have not answered since @p since. */
    void close_idle(time_point since);

    boost::asio::io_context& m_io;
    address m_server;
    std::vector<idle_stream> m_idle; ///< in the order of their answers
};

} // namespace tillerhall
