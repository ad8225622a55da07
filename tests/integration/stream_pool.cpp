/** @file Expiry of idle connections in a pool: otherwise rarely used ones would
 * exhaust a node's file descriptors in a large fleet. */
#include "system.hpp"

#include "tillerhall/core/await.hpp"
#include "tillerhall/http/listener.hpp"
#include "tillerhall/http/stream_pool.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

/** Owners that accept connections and send nothing. */
struct silent_owners
{
    silent_owners(worker& on, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            listeners.push_back(
                std::move(*listener::open(on, {"127.0.0.1", 0})));
            listeners.back()->start_accepting(
                [this](std::shared_ptr<tcp_stream> stream)
                { accepted.push_back(std::move(stream)); });
        }
    }

    std::vector<std::unique_ptr<listener>> listeners;
    std::vector<std::shared_ptr<tcp_stream>> accepted;
};

constexpr std::chrono::seconds connect_timeout(2);

} // namespace

TEST_CASE("rarely used connections to owners expire")
{
    on_worker(
        [](worker& on)
        {
            constexpr std::size_t count = 40;
            // Never destroyed: its fibers outlive the test.
            auto& owners = *new silent_owners(on, count);
            stream_pool pool(on.io(), 4, "127.0.0.1");
            const auto use = [&](std::size_t index, duration usable_for)
            {
                const auto to = owners.listeners[index]->local();
                auto stream = pool.take(to, connect_timeout);
                REQUIRE(stream);
                pool.give_back(to, std::move(*stream), usable_for);
            };
            for (std::size_t i = 0; i < count; ++i)
                use(i, milliseconds(500));
            CHECK(pool.idle_count() == count);
            // Using an idle connection before it expires opens no new one.
            use(0, std::chrono::seconds(60));
            CHECK(pool.idle_count() == count);
            sleep_for(on.io(), milliseconds(1'600));
            use(1, std::chrono::seconds(60));
            CHECK(pool.idle_count() == 2);
        });
}

TEST_CASE("a connection carries a request id once, also after other requests")
{
    // Guards against a late copy of a response that answers a later send of the
    // same request.
    on_worker(
        [](worker& on)
        {
            // Never destroyed: its fibers outlive the test.
            auto& owners = *new silent_owners(on, 1);
            const auto to = owners.listeners.front()->local();
            stream_pool pool(on.io(), 4, "127.0.0.1");
            const auto use = [&](const std::string& id)
            {
                auto stream = pool.take(to, connect_timeout, id);
                REQUIRE(stream);
                pool.give_back(to, std::move(*stream));
            };
            use("a");
            use("b");
            CHECK(pool.idle_count() == 1);
            use("a");
            CHECK(pool.idle_count() == 2);
            // The id is not forgotten after so many requests; then the
            // connection is closed.
            stream_pool other(on.io(), 4, "127.0.0.1");
            for (std::size_t i = 0; i < pooled_stream::max_requests; ++i)
            {
                auto stream =
                    other.take(to, connect_timeout, "r" + std::to_string(i));
                REQUIRE(stream);
                CHECK_FALSE(stream->may_carry("r0"));
                other.give_back(to, std::move(*stream));
            }
            CHECK(other.idle_count() == 0);
        });
}

TEST_CASE("a probe recognizes a process that closes its listener last")
{
    // Guards against crashes of targets that are not counted: an exiting
    // process may close its connections before its listener, and meanwhile the
    // kernel accepts others.
    on_worker(
        [](worker& on)
        {
            constexpr milliseconds listener_closes_after(8);
            // Never destroyed: their fibers outlive the test.
            auto& exiting = *new silent_owners(on, 1);
            auto& running = *new silent_owners(on, 1);
            const auto at = exiting.listeners.front()->local();
            on.spawn(
                [&]
                {
                    sleep_for(on.io(), listener_closes_after);
                    exiting.listeners.front()->close();
                    exiting.accepted.clear();
                });
            stream_pool pool(on.io(), 4, "127.0.0.1");
            CHECK(pool.probe(at, connect_timeout, connect_timeout) ==
                  boost::asio::error::connection_refused);
            CHECK(pool.idle_count() == 0);
            // A process that goes on is not taken for one that exits.
            CHECK_FALSE(pool.probe(running.listeners.front()->local(),
                                   connect_timeout, connect_timeout));
            CHECK(pool.idle_count() == 1);
        });
}
