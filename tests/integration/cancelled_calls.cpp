/** @file Calls whose client leaves while their request is between two nodes.
 *
 * Guards against targets that run such a call, since what the entry had handed
 * to its socket was delivered after its client had left. */
#include "mesh_system.hpp"

#include "tillerhall/http/exchange.hpp"

#include <sys/socket.h>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

void set_buffer(tcp_stream& stream, int option, int bytes)
{
    ::setsockopt(stream.socket().native_handle(), SOL_SOCKET, option, &bytes,
                 sizeof bytes);
}

std::string upload(const std::string& id, std::size_t bytes)
{
    return "POST /sales/a HTTP/1.1\r\nHost: shop.example\r\n"
           "X-Request-Attempt-Id: " +
           id + "\r\nX-Deadline-Ms: 2900\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'u');
}

} // namespace

TEST_CASE("a cancelled request is not delivered from the socket's buffer")
{
    on_worker(
        [](worker& on)
        {
            constexpr std::size_t body_bytes = 256 * 1024;
            constexpr int large_buffer = 1024 * 1024;
            constexpr int small_buffer = 8 * 1024;
            std::shared_ptr<tcp_stream> peer;
            auto server = listener::open(on, {"127.0.0.1", 0});
            REQUIRE(server);
            (*server)->start_accepting(
                [&](std::shared_ptr<tcp_stream> stream)
                {
                    set_buffer(*stream, SO_RCVBUF, small_buffer);
                    peer = std::move(stream);
                });
            auto stream = connect_stream(on.io(), (*server)->local(),
                                         std::chrono::seconds(5));
            REQUIRE(stream);
            set_buffer(**stream, SO_SNDBUF, large_buffer);
            whole_request request(boost::beast::http::verb::post, "/", 11);
            request.body().assign(body_bytes, 'u');
            request.prepare_payload();
            cancel_scope scope;
            on.spawn(
                [&]
                {
                    sleep_for(on.io(), milliseconds(200));
                    scope.cancel();
                });
            const auto deadline = steady_clock::now() + std::chrono::seconds(5);
            const auto result =
                exchange(**stream, request, {deadline, "Id", "x"}, scope);
            CHECK(result.end == exchange_end::cancelled);
            REQUIRE(peer);
            std::vector<char> received(2 * body_bytes);
            boost::system::error_code failed;
            peer->expires_after(std::chrono::seconds(5));
            const auto bytes = boost::asio::async_read(
                *peer, boost::asio::buffer(received), await{failed});
            CHECK(bytes < body_bytes);
        });
}

TEST_CASE("a call whose client left while its owner was frozen does not run")
{
    on_worker(
        [](worker& on)
        {
            mesh_system system(on, {"perceel", "beurs"});
            system.configure(1, {{"sales", "/sales/", "beurs", "unsafe"}});
            system.start();
            auto& entry = system.hosts()[0];
            auto& owner = system.hosts()[1];
            REQUIRE(system.wait_until(
                [&]
                { return system.call(entry, "w", "/sales/w").status == 200; }));
            for (int round = 0; round < 5; ++round)
            {
                const auto id = "u-" + std::to_string(round);
                owner.node.send(SIGSTOP);
                auto client = connect_stream(on.io(), entry.at["caller"],
                                             std::chrono::seconds(5));
                REQUIRE(client);
                boost::system::error_code failed;
                boost::asio::async_write(
                    **client, boost::asio::buffer(upload(id, 4 * 1024)),
                    await{failed});
                sleep_for(on.io(), milliseconds(100));
                client->reset(); // closes the connection
                sleep_for(on.io(), milliseconds(600));
                owner.node.send(SIGCONT);
                sleep_for(on.io(), milliseconds(400));
                CHECK(system.runs_of(id) == 0);
                REQUIRE(system.wait_until(
                    [&] {
                        return system.call(entry, "w" + id, "/sales/w")
                                   .status == 200;
                    }));
            }
        });
}
