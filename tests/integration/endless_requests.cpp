/** @file Requests whose chunk extensions or trailer fields have no end.
 *
 * Guards against servers that keep all of them in memory. */
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/api_server.hpp"
#include "tillerhall/http/call_session.hpp"
#include "tillerhall/http/inbound_call.hpp"
#include "tillerhall/http/listener.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

// More than any server may keep of one request besides its body.
constexpr std::size_t sent_bytes = 16 * 1024 * 1024;
constexpr const char* head =
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

whole_response answer_with(unsigned status)
{
    whole_response answer(static_cast<boost::beast::http::status>(status), 11);
    answer.prepare_payload();
    return answer;
}

void serve_calls(worker& on, listener& at)
{
    // Kept, since sessions use it until they end.
    static session_host host;
    host.answer = [](received_request&, cancel_scope&)
    { return answer_with(200); };
    host.refuse = [](const request_fault& fault)
    { return answer_with(fault.status); };
    host.limits = [] { return client_limits{}; };
    host.is_stopping = [] { return false; };
    at.start_accepting([&on](std::shared_ptr<tcp_stream> stream)
                       { call_session::serve(on, std::move(stream), host); });
}

void serve_small_api(worker&, listener& at)
{
    at.start(
        [](tcp_stream& stream) {
            serve_api(stream,
                      [](const http_request&) { return http_response{}; });
        });
}

void serve_inbound(worker&, listener& at)
{
    at.start(
        [](tcp_stream& stream)
        {
            boost::beast::flat_buffer buffer;
            inbound_call call(stream, buffer);
            if (call.read_head() == head_status::ok)
                call.read_prefix();
        });
}

using serve = void (*)(worker&, listener&);

/** @return whether the server answers or closes the connection before it has
 * got all of @p begin and `sent_bytes` of repeated @p line. */
bool is_ended(worker& on,
              const address& to,
              const std::string& begin,
              const std::string& line)
{
    auto opened =
        connect_stream(on.io(), to, std::chrono::seconds(5), "127.0.0.1");
    REQUIRE(opened);
    auto& stream = **opened;
    std::string piece;
    while (piece.size() < 64 * 1024)
        piece += line;
    boost::system::error_code failed;
    boost::asio::async_write(stream, boost::asio::buffer(begin), await{failed});
    for (std::size_t bytes = 0; !failed && bytes < sent_bytes;
         bytes += piece.size())
    {
        stream.expires_after(std::chrono::seconds(5));
        boost::asio::async_write(stream, boost::asio::buffer(piece),
                                 await{failed});
    }
    return failed || stream.socket().available() != 0;
}

} // namespace

TEST_CASE("a server does not keep parts of a request that have no end")
{
    const auto start =
        GENERATE(as<serve>(), serve_calls, serve_small_api, serve_inbound);
    const auto& [begin, line] = GENERATE(table<std::string, std::string>(
        {{"3;e=", "v"}, {"3\r\nabc\r\n0\r\n", "X-Trailer: v\r\n"}}));
    CAPTURE(begin);
    const auto from = begin;
    const auto repeated = line;
    run_main_fiber(
        [&](worker& on)
        {
            auto server = listener::open(on, {"127.0.0.1", 0});
            REQUIRE(server);
            start(on, **server);
            CHECK(is_ended(on, (*server)->local(), head + from, repeated));
            (*server)->close();
            sleep_for(on.io(), milliseconds(50));
            return 0;
        });
}
