/**
 * @file What clients get from a node that has no processor time to spare.
 *
 * Users saw calls held past the time-out of their route, without any answer,
 * and targets that ran calls whose clients had left one to two seconds before.
 * Targets of one service turned slow, then traffic doubled. Each try asked
 * three full owners, so telling refusals took all the processor time that the
 * nodes had. From then on new connections waited unaccepted: the listener took
 * one a turn of the worker, while a turn handled everything else that was
 * ready. A call's clock began when its head was read, so a call that had waited
 * for one or two seconds was led and run as if it had just come.
 *
 * Evidence: nodes at their whole allowance and 2,000 connections open at one
 * node while it told calls of two seconds as 5 to 14 ms old; a trace of each
 * call from its sending to its target shows the second between sending and
 * reading, 20 ms to the owner's reading, and up to 450 calls a second that went
 * on though the end of their connection could be read.
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

/** A connection that the kernel has set up and nobody has accepted yet. */
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
    ~raw_client() { leave(); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send() const
    {
        REQUIRE(::send(m_socket, request.data(), request.size(), 0) ==
                static_cast<ssize_t>(request.size()));
    }

    void leave()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
};

/** What the node saw of one call when its work began. */
struct begun_call
{
    time_point received;
    bool client_was_seen_to_leave = false;
};

/** Sessions that note each call as its work begins and answer it empty. */
struct noting_host
{
    explicit noting_host(worker& on)
        : taken(std::move(*listener::open(on, {"127.0.0.1", 0})))
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
        taken->start_taking(
            [this, &on](std::shared_ptr<tcp_stream> stream)
            { call_session::serve(on, std::move(stream), host); });
    }

    std::unique_ptr<listener> taken;
    session_host host;
    std::vector<begun_call> calls;
};

void burn(duration span)
{
    const auto until = steady_clock::now() + span;
    while (steady_clock::now() < until)
    {
    }
}

/** Runs @p body with sessions that outlive the fibers of their connections. */
void with_host(const std::function<void(worker&, noting_host&)>& body)
{
    run_main_fiber(
        [&](worker& on)
        {
            body(on, *new noting_host(on));
            return 0;
        });
}

} // namespace

TEST_CASE("a busy worker takes all connections that wait, not one a turn")
{
    with_host(
        [](worker&, noting_host& node)
        {
            constexpr std::size_t waiting = 100;
            // Accepting, reading and beginning a call are turns of their own.
            constexpr std::size_t few_turns = 12;
            std::vector<std::unique_ptr<raw_client>> clients;
            for (std::size_t i = 0; i < waiting; ++i)
            {
                clients.push_back(
                    std::make_unique<raw_client>(node.taken->local()));
                clients.back()->send();
            }
            std::size_t turns = 0;
            while (node.calls.size() < waiting && turns < 10 * waiting)
            {
                burn(milliseconds(1)); // other work of each turn
                boost::this_fiber::yield();
                ++turns;
            }
            REQUIRE(node.calls.size() == waiting);
            CHECK(turns <= few_turns);
        });
}

TEST_CASE("a call's clock runs while its bytes wait for a busy worker")
{
    with_host(
        [](worker& on, noting_host& node)
        {
            const raw_client client(node.taken->local());
            sleep_for(on.io(), milliseconds(20)); // accepted, and at rest
            const auto sent = steady_clock::now();
            client.send();
            burn(milliseconds(400));
            sleep_for(on.io(), milliseconds(20));
            REQUIRE(node.calls.size() == 1);
            CHECK(to_ms(node.calls.front().received - sent) < 100);
        });
}

TEST_CASE("a last look finds a client that left while the worker was busy")
{
    with_host(
        [](worker& on, noting_host& node)
        {
            raw_client client(node.taken->local());
            bool was_told = true;
            bool was_seen = false;
            node.host.answer = [&](received_request&, cancel_scope& scope)
            {
                client.leave();
                burn(milliseconds(100));
                was_told = scope.is_cancelled();
                was_seen = scope.is_cancelled_now();
                return whole_response(boost::beast::http::status::ok, 11);
            };
            client.send();
            sleep_for(on.io(), milliseconds(300));
            CHECK_FALSE(was_told);
            CHECK(was_seen);
        });
}

TEST_CASE("an idle worker does not take a new call for an old one")
{
    with_host(
        [](worker& on, noting_host& node)
        {
            const raw_client client(node.taken->local());
            sleep_for(on.io(), milliseconds(400));
            const auto sent = steady_clock::now();
            client.send();
            sleep_for(on.io(), milliseconds(20));
            REQUIRE(node.calls.size() == 1);
            CHECK(to_ms(sent - node.calls.front().received) < 50);
        });
}

TEST_CASE("a call whose client left while it waited unread does not begin")
{
    with_host(
        [](worker& on, noting_host& node)
        {
            constexpr int waiting = 50;
            for (int i = 0; i < waiting; ++i)
            {
                raw_client client(node.taken->local());
                client.send();
                client.leave();
            }
            burn(milliseconds(50));
            sleep_for(on.io(), milliseconds(300));
            const auto begun = std::ranges::count_if(
                node.calls, [](const begun_call& each)
                { return !each.client_was_seen_to_leave; });
            CHECK(begun == 0);
        });
}
