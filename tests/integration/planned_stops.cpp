/** @file Planned stops of nodes, as their callers see them.
 *
 * Guards against calls that end without an answer since their node stops. */
#include "open_loop.hpp"
#include "pipelining_clients.hpp"

#include "tillerhall/core/stop_signal.hpp"

#include <csignal>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

// Of all nodes; see `stop_schedule` for its phases.
constexpr milliseconds stop_grace(4'000);
constexpr milliseconds calls_end(3'400);

/** Two hosts; calls by the first run at the second. */
struct two_hosts : mesh_system
{
    explicit two_hosts(worker& on)
        : mesh_system(on, {"perceel", "beurs"})
    {
        configure(1, {{"fields", "/fields/", "beurs", "safe", 9'000},
                      {"sales", "/sales/", "beurs", "unsafe", 9'000}});
        start();
        REQUIRE(wait_until(
            [&] { return call(entry(), "w", "/fields/w").status == 200; }));
    }

    mesh_host& entry() { return hosts()[0]; }
    mesh_host& owner() { return hosts()[1]; }
    reporting_target& target() { return *owner().target; }

    /** @return the time that the target had for @p id, in milliseconds. */
    std::int64_t time_left_of(const std::string& id)
    {
        for (const auto& each : target().runs())
            if (each.id == id)
                return std::stoll(each.time_left);
        return -1;
    }
};

std::string request_of(const std::string& id)
{
    return "GET /fields/x HTTP/1.1\r\nHost: shop.example\r\n"
           "X-Request-Attempt-Id: " +
           id + "\r\nX-Deadline-Ms: 6000\r\n\r\n";
}

/** A connection of a client that reads slowly. */
std::unique_ptr<tcp_stream> slow_client(worker& on, const address& to)
{
    auto stream = std::make_unique<tcp_stream>(on.io());
    const auto ip = boost::asio::ip::make_address(to.ip);
    const boost::asio::ip::tcp::endpoint end(ip, to.port);
    stream->socket().open(end.protocol());
    // Before the connection is made, so that the window stays small.
    stream->socket().set_option(
        boost::asio::socket_base::receive_buffer_size(4 * 1024));
    boost::system::error_code failed;
    stream->expires_after(std::chrono::seconds(20));
    stream->async_connect(end, await{failed});
    REQUIRE_FALSE(failed);
    return stream;
}

void send(tcp_stream& stream, const std::string& bytes)
{
    boost::system::error_code failed;
    boost::asio::async_write(stream, boost::asio::buffer(bytes), await{failed});
}

/** @return all bytes until the connection closes. */
std::string read_all(tcp_stream& stream)
{
    std::string received;
    boost::system::error_code failed;
    boost::asio::async_read(stream, boost::asio::dynamic_buffer(received),
                            await{failed});
    return received;
}

} // namespace

TEST_CASE("the grace period counts from the signal, not from its handling")
{
    on_worker(
        [](worker& on)
        {
            stop_signal stop(on.io());
            const auto sent = steady_clock::now();
            ::kill(::getpid(), SIGTERM);
            // The worker is busy.
            std::this_thread::sleep_for(milliseconds(300));
            CHECK(stop.wait() < sent + milliseconds(100));
        });
}

TEST_CASE("a call during a planned stop gets only the time that its node has")
{
    // The entry stops, or the owner does.
    const bool entry_stops = GENERATE(true, false);
    CAPTURE(entry_stops);
    on_worker(
        [=](worker& on)
        {
            two_hosts system(on);
            auto& stopping = entry_stops ? system.entry() : system.owner();
            stopping.node.send(SIGTERM);
            sleep_for(on.io(), milliseconds(1'000));
            const auto left = calls_end - milliseconds(1'000);
            system.target().faults().work = std::chrono::seconds(7);
            const auto begin = steady_clock::now();
            const auto answer =
                system.call(system.entry(), "long", "/sales/x", "", 6'000);
            CHECK(answer.status == 502); // whether it ran is not known
            CHECK(steady_clock::now() - begin < left + milliseconds(100));
            CHECK(system.time_left_of("long") > 0);
            CHECK(system.time_left_of("long") <= left.count());
        });
}

TEST_CASE(
    "a call that is known to run longer than its node has left is refused "
    "at once")
{
    // Guards against calls that are begun in a planned stop and cut at its end.
    const bool entry_stops = GENERATE(true, false);
    CAPTURE(entry_stops);
    on_worker(
        [=](worker& on)
        {
            two_hosts system(on);
            system.target().faults().work = milliseconds(2'500);
            for (const auto* id : {"a", "b", "c"})
                REQUIRE(system.call(system.entry(), id, "/sales/x", "", 6'000)
                            .status == 200);
            auto& stopping = entry_stops ? system.entry() : system.owner();
            stopping.node.send(SIGTERM);
            sleep_for(on.io(), milliseconds(1'500));
            const auto begin = steady_clock::now();
            const auto answer =
                system.call(system.entry(), "late", "/sales/x", "", 6'000);
            CHECK(answer.status == 503);
            CHECK_FALSE(answer.retry_after.empty());
            CHECK(steady_clock::now() - begin < milliseconds(200));
            CHECK(system.runs_of("late") == 0);
        });
}

TEST_CASE("requests from the signal until the process is gone are answered, or "
          "reach no target")
{
    // Guards against requests that are taken late in a planned stop and cut.
    on_worker(
        [](worker& on)
        {
            two_hosts system(on);
            system.target().faults().work = milliseconds(300);
            random_source random(1);
            // On kept connections, with up to three requests in line.
            pipelining_clients clients(
                system, random,
                {.routes = {{"/sales/x", true}, {"/fields/x"}}});
            const auto until = steady_clock::now() + stop_grace;
            clients.start(6, until);
            sleep_for(on.io(), milliseconds(100));
            system.entry().node.send(SIGTERM);
            // On new connections.
            open_loop load(system, {.prefix = "n-",
                                    .path = "/sales/x",
                                    .per_s = 40,
                                    .span = stop_grace,
                                    .entries = {0}});
            int cut = 0;
            for (const auto& each : load.finish())
                cut += each.answer.status != 200 && system.runs_of(each.id) > 0
                           ? 1
                           : 0;
            REQUIRE(system.wait_until([&] { return clients.open() == 0; }));
            for (const auto& each : clients.requests())
                cut +=
                    each.status != 200 && system.runs_of(each.id) > 0 ? 1 : 0;
            CHECK(cut == 0);
            CHECK_FALSE(system.entry().node.is_running());
        });
}

TEST_CASE("an answer that is being sent at the end of a stop is sent whole")
{
    on_worker(
        [](worker& on)
        {
            constexpr std::size_t body_bytes = 4 * 1024 * 1024;
            two_hosts system(on);
            system.target().faults().body_bytes = body_bytes;
            auto client = slow_client(on, system.entry().at["caller"]);
            system.entry().node.send(SIGTERM);
            const auto sent = steady_clock::now();
            send(*client, request_of("large"));
            sleep_for(on.io(), sent + calls_end + milliseconds(250) -
                                   steady_clock::now());
            CHECK(read_all(*client).size() > body_bytes);
        });
}

TEST_CASE("bytes that a client sends after its last answer do not reset it")
{
    on_worker(
        [](worker& on)
        {
            constexpr std::size_t body_bytes = 24 * 1024;
            two_hosts system(on);
            system.target().faults().body_bytes = body_bytes;
            system.target().faults().work = milliseconds(600);
            auto client = slow_client(on, system.entry().at["caller"]);
            system.entry().node.send(SIGTERM);
            // The answer is ready after the node has refused its last call.
            sleep_for(on.io(), milliseconds(1'900));
            send(*client, request_of("last"));
            sleep_for(on.io(), milliseconds(750));
            for (int i = 0; i < 8; ++i)
            {
                send(*client, request_of("late-" + std::to_string(i)));
                sleep_for(on.io(), milliseconds(50));
            }
            CHECK(read_all(*client).size() > body_bytes);
            CHECK(system.runs_of("late-0") == 0);
        });
}

TEST_CASE("a stop waits until clients have received their answers")
{
    on_worker(
        [](worker& on)
        {
            constexpr std::size_t body_bytes = 24 * 1024;
            two_hosts system(on);
            system.target().faults().body_bytes = body_bytes;
            auto client = slow_client(on, system.entry().at["caller"]);
            send(*client, request_of("unread"));
            REQUIRE(system.wait_until(
                [&] { return system.runs_of("unread") == 1; }));
            sleep_for(on.io(), milliseconds(100));
            system.entry().node.send(SIGTERM);
            // The node has had no other work for a second by then.
            sleep_for(on.io(), milliseconds(3'300));
            send(*client, "GET /"); // of a request that stalled
            CHECK(read_all(*client).size() > body_bytes);
        });
}

TEST_CASE("calls that cross the exit of their owner are refused as not run")
{
    on_worker(
        [](worker& on)
        {
            two_hosts system(on);
            system.target().faults().work = milliseconds(1);
            system.owner().node.send(SIGTERM);
            open_loop load(system, {.prefix = "c-",
                                    .path = "/sales/x",
                                    .per_s = 400,
                                    .span = stop_grace,
                                    .entries = {0}});
            const auto& calls = load.finish();
            CHECK_FALSE(system.owner().node.is_running());
            const auto served = count_status(calls, 200);
            CHECK(served > 0);
            CHECK(served + count_status(calls, 503) == calls.size());
        });
}
