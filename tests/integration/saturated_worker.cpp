/**
 * @file Calls on a saturated worker: connections are accepted without delay,
 * the waiting time of unread calls counts, and calls whose clients have
 * disconnected do not start.
 */
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/call_session.hpp"
#include "tillerhall/http/listener.hpp"

#include <arpa/inet.h>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace tillerhall;

namespace
{

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/** A blocking client socket; the kernel connects it before any accept. */
class raw_client
{
public:
    explicit raw_client(const address& to)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(to.port);
        ::inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
        REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr*>(&at),
                          sizeof at) == 0);
    }
    ~raw_client() { disconnect(); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send() const
    {
        REQUIRE(::send(m_socket, request.data(), request.size(), 0) ==
                static_cast<ssize_t>(request.size()));
    }

    void disconnect()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
};

/** The state of one call when it started. */
struct started_call
{
    time_point received;
    bool is_cancelled = false;
};

/** A server that records each call as it starts and answers it with an empty
 * response. */
struct recording_server
{
    explicit recording_server(worker& on)
        : server(std::move(*listener::open(on, {"127.0.0.1", 0})))
    {
        host.answer = [this](received_request& call, cancel_scope& scope)
        {
            calls.push_back({call.received, scope.is_cancelled()});
            whole_response answer(boost::beast::http::status::ok, 11);
            answer.prepare_payload();
            return answer;
        };
        host.limits = [] { return client_limits{}; };
        host.is_stopping = [] { return false; };
        server->start_accepting(
            [this, &on](std::shared_ptr<tcp_stream> stream)
            { call_session::serve(on, std::move(stream), host); });
    }

    std::unique_ptr<listener> server;
    session_host host;
    std::vector<started_call> calls;
};

void spin(duration time)
{
    const auto until = steady_clock::now() + time;
    while (steady_clock::now() < until)
    {
    }
}

/** Runs @p body with a server that outlives the fibers of its sessions. */
void with_server(const std::function<void(worker&, recording_server&)>& body)
{
    run_main_fiber(
        [&](worker& on)
        {
            body(on, *new recording_server(on));
            return 0;
        });
}

} // namespace

TEST_CASE("a busy worker accepts all queued connections in one pass")
{
    with_server(
        [](worker&, recording_server& node)
        {
            constexpr std::size_t waiting = 100;
            // Accepting, reading and starting a call take one pass each.
            constexpr std::size_t max_passes = 12;
            std::vector<std::unique_ptr<raw_client>> clients;
            for (std::size_t i = 0; i < waiting; ++i)
            {
                clients.push_back(
                    std::make_unique<raw_client>(node.server->local()));
                clients.back()->send();
            }
            std::size_t passes = 0;
            while (node.calls.size() < waiting && passes < 10 * waiting)
            {
                spin(milliseconds(1)); // other work of each pass
                boost::this_fiber::yield();
                ++passes;
            }
            REQUIRE(node.calls.size() == waiting);
            CHECK(passes <= max_passes);
        });
}

TEST_CASE("the age of a call includes its wait for a busy worker")
{
    with_server(
        [](worker& on, recording_server& node)
        {
            const raw_client client(node.server->local());
            sleep_for(on.io(), milliseconds(20)); // accepted and idle
            const auto sent = steady_clock::now();
            client.send();
            spin(milliseconds(400));
            sleep_for(on.io(), milliseconds(20));
            REQUIRE(node.calls.size() == 1);
            CHECK(to_ms(node.calls.front().received - sent) < 100);
        });
}

TEST_CASE("is_cancelled_now detects a disconnect while the worker was busy")
{
    with_server(
        [](worker& on, recording_server& node)
        {
            raw_client client(node.server->local());
            bool before_check = true;
            bool after_check = false;
            node.host.answer = [&](received_request&, cancel_scope& scope)
            {
                client.disconnect();
                spin(milliseconds(100));
                before_check = scope.is_cancelled();
                after_check = scope.is_cancelled_now();
                return whole_response(boost::beast::http::status::ok, 11);
            };
            client.send();
            sleep_for(on.io(), milliseconds(300));
            CHECK_FALSE(before_check);
            CHECK(after_check);
        });
}

TEST_CASE("a new call on an idle worker has no age")
{
    with_server(
        [](worker& on, recording_server& node)
        {
            const raw_client client(node.server->local());
            sleep_for(on.io(), milliseconds(400));
            const auto sent = steady_clock::now();
            client.send();
            sleep_for(on.io(), milliseconds(20));
            REQUIRE(node.calls.size() == 1);
            CHECK(to_ms(sent - node.calls.front().received) < 50);
        });
}

TEST_CASE("a call whose client disconnected before it was read does not start")
{
    with_server(
        [](worker& on, recording_server& node)
        {
            constexpr int waiting = 50;
            for (int i = 0; i < waiting; ++i)
            {
                raw_client client(node.server->local());
                client.send();
                client.disconnect();
            }
            spin(milliseconds(50));
            sleep_for(on.io(), milliseconds(300));
            const auto started =
                std::ranges::count_if(node.calls, [](const started_call& each)
                                      { return !each.is_cancelled; });
            CHECK(started == 0);
        });
}
