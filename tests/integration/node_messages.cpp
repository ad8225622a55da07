/** @file Messages between nodes on connections and to members that do not
 * answer. */
#include "system.hpp"

#include "platform_standin/paced_link.hpp"
#include "tillerhall/http/listener.hpp"
#include "tillerhall/node/range_send.hpp"
#include "tillerhall/observe/metrics.hpp"
#include "tillerhall/rpc/client_pool.hpp"
#include "tillerhall/rpc/server.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

constexpr milliseconds call_timeout(300);

/** A node that answers messages with `answer`. Never destroyed, since its
 * fibers outlive the test. */
struct peer_node
{
    peer_node(worker& on, rpc_server::method answer)
        : server(traffic, metrics)
        , listens(std::move(*listener::open(on, {"127.0.0.1", 0})))
        , link(*new paced_link(on, listens->local()))
    {
        server.add("ping", traffic_kind::other, std::move(answer));
        listens->start([this](tcp_stream& stream) { server.serve(stream); });
    }

    traffic_counters traffic;
    metrics_registry metrics;
    rpc_server server;
    std::unique_ptr<listener> listens;
    paced_link& link;
};

/** A pool with three idle connections to a peer. */
struct pool_with_idle
{
    explicit pool_with_idle(worker& on)
        : peer(*new peer_node(on,
                              [&on](const boost::json::object&)
                              {
                                  sleep_for(on.io(), milliseconds(20));
                                  return boost::json::object();
                              }))
        , pool(on.io(), traffic, 16, "127.0.0.1")
    {
        run_parallel({[this] { CHECK(call()); }, [this] { CHECK(call()); },
                      [this] { CHECK(call()); }});
    }

    bool call()
    {
        return pool
            .call({peer.link.where(),
                   traffic_kind::other,
                   "ping",
                   {},
                   call_timeout})
            .has_value();
    }

    peer_node& peer;
    traffic_counters traffic;
    rpc_client_pool pool;
};

} // namespace

TEST_CASE("several silent connections to a node fail one call only")
{
    on_worker(
        [](worker& on)
        {
            pool_with_idle nodes(on);
            nodes.peer.link.silence_open();
            CHECK_FALSE(nodes.call());
            CHECK(nodes.call());
        });
}

TEST_CASE("connections that have long been idle are not used between nodes")
{
    on_worker(
        [](worker& on)
        {
            pool_with_idle nodes(on);
            nodes.peer.link.silence_open();
            sleep_for(on.io(), std::chrono::seconds(3));
            CHECK(nodes.call());
        });
}

TEST_CASE("a message to the third candidate is as old as it says")
{
    on_worker(
        [](worker& on)
        {
            constexpr int candidates = 3;
            int received = 0;
            std::int64_t age_ms = -1;
            const auto answer = [&](const boost::json::object& params)
            {
                if (++received < candidates)
                    sleep_for(on.io(), std::chrono::seconds(10));
                else
                    age_ms = params.at("age").as_int64();
                return boost::json::object();
            };
            settings config;
            config.fanout = 1;
            config.rpc = {"127.0.0.1", 0};
            member self;
            self.rpc = {"127.0.0.1", 1};
            self.place = {"r", "other"};
            auto& board = *new blackboard;
            mesh_state mesh(config, self, on, board);
            member last;
            for (int i = 0; i < candidates; ++i)
            {
                last.rpc = (new peer_node(on, answer))->listens->local();
                last.place = {"r", "d"};
                mesh.members.merge(last);
            }
            const auto begin = steady_clock::now();
            send_to_range(mesh,
                          {"ping", traffic_kind::other, call_timeout,
                           [begin](const key_range&) {
                               return boost::json::object{
                                   {"age", to_ms(steady_clock::now() - begin)}};
                           }},
                          domain_range(last));
            sleep_for(on.io(), candidates * call_timeout);
            CHECK(received == candidates);
            CHECK(age_ms >= to_ms((candidates - 1) * call_timeout));
        });
}
