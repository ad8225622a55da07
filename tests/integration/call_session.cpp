/** @file Calls of one client connection.
 *
 * Guards against calls that end without an answer, and against a stop that does
 * not wait for them. */
#include "tillerhall/http/call_session.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/listener.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace tillerhall;

namespace
{

/** Starts a listener whose connections @p host serves. */
std::unique_ptr<listener> serve(worker& on, session_host& host)
{
    auto opened = listener::open(on, {"127.0.0.1", 0});
    REQUIRE(opened);
    (*opened)->start_accepting(
        [&](std::shared_ptr<tcp_stream> stream)
        { call_session::serve(on, std::move(stream), host); });
    return std::move(*opened);
}

/** Answers each call with a body of @p bytes. */
session_host host_of(std::size_t bytes)
{
    session_host host;
    host.answer = [bytes](received_request&, cancel_scope&)
    {
        whole_response answer(boost::beast::http::status::ok, 11);
        answer.body().assign(bytes, 'x');
        answer.prepare_payload();
        return answer;
    };
    host.limits = [] { return client_limits{}; };
    host.is_stopping = [] { return false; };
    return host;
}

/** @return a connection with a small receive buffer. */
std::unique_ptr<tcp_stream> connect_slow_client(worker& on,
                                                const listener& server)
{
    auto client = std::make_unique<tcp_stream>(on.io());
    const boost::asio::ip::tcp::endpoint to(
        boost::asio::ip::make_address("127.0.0.1"), server.local().port);
    client->socket().open(to.protocol());
    client->socket().set_option(
        boost::asio::socket_base::receive_buffer_size(4 * 1024));
    boost::system::error_code failed;
    client->expires_after(std::chrono::seconds(5));
    client->async_connect(to, await{failed});
    REQUIRE_FALSE(failed);
    return client;
}

void send(tcp_stream& client, std::string_view bytes)
{
    boost::system::error_code failed;
    client.expires_after(std::chrono::seconds(5));
    boost::asio::async_write(
        client, boost::asio::buffer(bytes.data(), bytes.size()), await{failed});
    REQUIRE_FALSE(failed);
}

/** Reads @p pieces of @p piece_bytes, with a pause before each.
 * @return the bytes that were received */
std::size_t read_slowly(worker& on,
                        tcp_stream& client,
                        std::size_t pieces,
                        std::size_t piece_bytes)
{
    std::vector<char> piece(piece_bytes);
    std::size_t received = 0;
    boost::system::error_code failed;
    for (std::size_t i = 0; i < pieces && !failed; ++i)
    {
        sleep_for(on.io(), milliseconds(10));
        client.expires_after(std::chrono::seconds(5));
        received += boost::asio::async_read(client, boost::asio::buffer(piece),
                                            await{failed});
    }
    return received;
}

/** Closes @p client and waits until no session uses the host. */
void finish(worker& on, tcp_stream& client, const session_host& host)
{
    client.socket().close();
    while (!host.sessions.empty())
        sleep_for(on.io(), milliseconds(5));
}

} // namespace

TEST_CASE("a call counts as unanswered until its answer is sent completely")
{
    // More than the send and receive buffers of the sockets hold.
    constexpr std::size_t large = 32 * 1024 * 1024;
    run_main_fiber(
        [&](worker& on)
        {
            auto host = host_of(large);
            const auto server = serve(on, host);
            auto client = connect_stream(on.io(), server->local(),
                                         std::chrono::seconds(5), "127.0.0.1");
            REQUIRE(client);
            boost::system::error_code failed;
            const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            boost::asio::async_write(**client, boost::asio::buffer(request),
                                     await{failed});
            std::vector<char> head(1024);
            (*client)->async_read_some(boost::asio::buffer(head),
                                       await{failed});
            REQUIRE_FALSE(failed);
            CHECK(host.unanswered == 1);
            std::vector<char> rest(large);
            boost::asio::async_read(**client, boost::asio::buffer(rest),
                                    boost::asio::transfer_exactly(large - 1024),
                                    await{failed});
            const auto until = steady_clock::now() + std::chrono::seconds(5);
            while (host.unanswered != 0 && steady_clock::now() < until)
                sleep_for(on.io(), milliseconds(5));
            CHECK(host.unanswered == 0);
            return 0;
        });
}

TEST_CASE("a stalled request does not end the calls before it")
{
    run_main_fiber(
        [&](worker& on)
        {
            // Longer than the head of a request may take to arrive.
            constexpr milliseconds work(400);
            session_host host;
            bool was_cancelled = false;
            host.answer = [&](received_request&, cancel_scope& scope)
            {
                sleep_for(on.io(), work);
                was_cancelled = scope.is_cancelled();
                whole_response answer(boost::beast::http::status::ok, 11);
                answer.prepare_payload();
                return answer;
            };
            host.refuse = [](const request_fault& fault)
            {
                return whole_response(
                    static_cast<boost::beast::http::status>(fault.status), 11);
            };
            host.limits = [&]
            {
                client_limits limits;
                limits.head_timeout = work / 4;
                return limits;
            };
            host.is_stopping = [] { return false; };
            const auto server = serve(on, host);
            auto client = connect_stream(on.io(), server->local(),
                                         std::chrono::seconds(5), "127.0.0.1");
            REQUIRE(client);
            boost::system::error_code failed;
            boost::asio::async_write(
                **client,
                boost::asio::buffer(std::string_view(
                    "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHo")),
                await{failed});
            std::string answer(64, ' ');
            (*client)->expires_after(2 * work);
            const auto bytes = (*client)->async_read_some(
                boost::asio::buffer(answer), await{failed});
            CHECK(answer.substr(0, bytes).starts_with("HTTP/1.1 200"));
            CHECK_FALSE(was_cancelled);
            return 0;
        });
}

TEST_CASE("a request that stalls does not reset the answer before it")
{
    // The session has closed its side then, or has waited for a second, too.
    const milliseconds stall = GENERATE(milliseconds(400), milliseconds(1'700));
    CAPTURE(stall.count());
    run_main_fiber(
        [=](worker& on)
        {
            constexpr std::size_t body_bytes = 24 * 1024;
            constexpr milliseconds head_timeout(200);
            auto host = host_of(body_bytes);
            host.limits = [&]
            {
                client_limits limits;
                limits.head_timeout = head_timeout;
                return limits;
            };
            const auto server = serve(on, host);
            // Most of the answer stays in the server's socket.
            const auto client = connect_slow_client(on, *server);
            send(*client, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
            sleep_for(on.io(), milliseconds(50));
            CHECK(host.unanswered == 0);
            send(*client, "GET /b HTTP/1.1\r\nHo");
            sleep_for(on.io(), stall);
            send(*client, "st: a\r\n\r\n");
            sleep_for(on.io(), milliseconds(50));
            std::string received;
            boost::system::error_code failed;
            boost::asio::async_read(
                *client, boost::asio::dynamic_buffer(received), await{failed});
            CHECK(failed == boost::asio::error::eof);
            CHECK(received.size() > body_bytes);
            finish(on, *client, host);
            return 0;
        });
}

TEST_CASE("a connection whose request has been read does not give way as idle")
{
    // Guards against a request that is read and dropped because its connection
    // was idle for long before.
    run_main_fiber(
        [&](worker& on)
        {
            memory_account account(1024 * 1024, 1024 * 1024);
            bool is_short = false;
            auto host = host_of(0);
            host.memory = &account;
            host.gives_way = true;
            host.time_left = [](const request_head&)
            { return std::chrono::seconds(1); };
            host.limits = [&]
            {
                if (std::exchange(is_short, false))
                    CHECK(account.close_one());
                return client_limits{};
            };
            const auto server = serve(on, host);
            const auto connect = [&]
            {
                auto made = connect_stream(on.io(), server->local(),
                                           std::chrono::seconds(5));
                REQUIRE(made);
                sleep_for(on.io(), milliseconds(20)); // accepted
                return std::move(*made);
            };
            const auto oldest = connect();
            const auto other = connect();
            is_short = true; // when the request has been read
            boost::system::error_code failed;
            boost::asio::async_write(*oldest,
                                     boost::asio::buffer(std::string_view(
                                         "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")),
                                     await{failed});
            std::string answer(64, ' ');
            oldest->expires_after(std::chrono::seconds(5));
            oldest->async_read_some(boost::asio::buffer(answer), await{failed});
            CHECK(answer.starts_with("HTTP/1.1 200"));
            CHECK(peer_has_closed(*other));
            oldest->socket().close();
            other->socket().close();
            while (!host.sessions.empty()) // they use the host
                sleep_for(on.io(), milliseconds(5));
            return 0;
        });
}

TEST_CASE("a client that reads slowly but goes on gets the whole response")
{
    const bool is_last = GENERATE(false, true);
    CAPTURE(is_last);
    run_main_fiber(
        [=](worker& on)
        {
            // More than the buffers of the sockets hold.
            constexpr std::size_t large = 16 * 1024 * 1024;
            constexpr std::size_t piece_bytes = 128 * 1024;
            auto host = host_of(large);
            host.stall_timeout = milliseconds(400);
            const auto server = serve(on, host);
            const auto client = connect_slow_client(on, *server);
            send(*client, is_last ? "GET / HTTP/1.1\r\nHost: a\r\n"
                                    "Connection: close\r\n\r\n"
                                  : "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            CHECK(read_slowly(on, *client, large / piece_bytes, piece_bytes) ==
                  large);
            finish(on, *client, host);
            return 0;
        });
}

TEST_CASE("a client that sends a body slowly but goes on gets a response")
{
    run_main_fiber(
        [&](worker& on)
        {
            constexpr std::size_t pieces = 20;
            const std::string piece(8 * 1024, 'x');
            auto host = host_of(0);
            host.stall_timeout = milliseconds(400);
            const auto server = serve(on, host);
            const auto client = connect_slow_client(on, *server);
            send(*client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                              std::to_string(pieces * piece.size()) +
                              "\r\n\r\n");
            for (std::size_t i = 0; i < pieces; ++i)
            {
                sleep_for(on.io(), milliseconds(50));
                send(*client, piece);
            }
            std::string answer(12, ' ');
            boost::system::error_code failed;
            boost::asio::async_read(*client, boost::asio::buffer(answer),
                                    await{failed});
            CHECK(answer == "HTTP/1.1 200");
            finish(on, *client, host);
            return 0;
        });
}

TEST_CASE("a response that takes long gives way to others")
{
    run_main_fiber(
        [&](worker& on)
        {
            constexpr std::size_t large = 16 * 1024 * 1024;
            constexpr std::size_t piece_bytes = 16 * 1024;
            constexpr std::size_t account_bytes = 64 * 1024 * 1024;
            memory_account account(account_bytes, account_bytes);
            auto host = host_of(large);
            host.memory = &account;
            host.gives_way = true;
            host.stall_timeout = milliseconds(300);
            const auto server = serve(on, host);
            const auto client = connect_slow_client(on, *server);
            send(*client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            const auto stalled = [&]
            {
                return account.begun().next_stalled(
                           memory_account::min_stall) <= steady_clock::now();
            };
            read_slowly(on, *client, 10, piece_bytes);
            CHECK_FALSE(stalled());
            const auto until = steady_clock::now() + host.stall_timeout +
                               2 * memory_account::min_stall;
            while (steady_clock::now() < until)
                read_slowly(on, *client, 10, piece_bytes);
            CHECK(stalled());
            CHECK(account.begun().close_most_stalled(
                steady_clock::now(), memory_account::min_stall));
            finish(on, *client, host);
            return 0;
        });
}
