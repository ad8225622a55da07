/** @file Distribution of versions while nodes fail, are cut off and restart. */
#include "system.hpp"

#include "tillerhall/distribution/table_update.hpp"
#include "tillerhall/node/messages.hpp"
#include "tillerhall/rpc/client_pool.hpp"
#include "tillerhall/table/csv.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>

#include "tillerhall/core/await.hpp"
#include "tillerhall/http/listener.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

cluster_options small(std::size_t nodes = 9)
{
    auto options = akkerbond(nodes);
    options.share_targets = true;
    options.settings["mesh.heartbeat_ms"] = "100";
    options.settings["mesh.suspect_ms"] = "800";
    options.settings["distribution.poll_ms"] = "200";
    return options;
}

boost::json::object cut_link(const std::string& from, const std::string& to)
{
    return {{"from", from}, {"to", to}, {"cut", true}};
}

/** Sends one control message to a node, as a peer would. */
result<boost::json::object> send(worker& on,
                                 const address& node,
                                 const std::string& name,
                                 const boost::json::object& params)
{
    traffic_counters traffic;
    rpc_client_pool pool(on.io(), traffic, 1, "");
    return pool.call(
        {node, traffic_kind::other, name, params, std::chrono::seconds(5)});
}

/** Returns true if the node closes the connection after @p bytes. */
bool closes_after(worker& on, const address& node, const std::string& bytes)
{
    auto stream = connect_stream(on.io(), node, std::chrono::seconds(5));
    REQUIRE(stream);
    boost::system::error_code failed;
    (*stream)->expires_after(std::chrono::seconds(10));
    boost::asio::async_write(**stream, boost::asio::buffer(bytes),
                             await{failed});
    std::string rest;
    boost::asio::async_read(**stream, boost::asio::dynamic_buffer(rest),
                            await{failed});
    return failed == boost::asio::error::eof ||
           failed == boost::asio::error::connection_reset ||
           failed == boost::asio::error::broken_pipe;
}

/** Forwards connections, which gives a node a second address. */
class address_alias
{
public:
    address_alias(worker& on, const address& to)
        : m_listener(std::move(*listener::open(on, {to.ip, 0})))
    {
        m_listener->start([&on, to](tcp_stream& near) { pass(on, near, to); });
    }

    const address& local() const { return m_listener->local(); }

private:
    static void pass(worker& on, tcp_stream& near, const address& to)
    {
        auto far = connect_stream(on.io(), to, std::chrono::seconds(5));
        if (!far)
            return;
        const auto pump = [](tcp_stream& from, tcp_stream& into)
        {
            std::array<char, 4096> piece{};
            boost::system::error_code failed;
            while (!failed)
            {
                from.expires_never();
                const auto size = from.async_read_some(
                    boost::asio::buffer(piece), await{failed});
                if (!failed)
                    boost::asio::async_write(
                        into, boost::asio::buffer(piece.data(), size),
                        await{failed});
            }
            into.socket().close(failed);
        };
        run_parallel({[&] { pump(near, **far); }, [&] { pump(**far, near); }});
    }

    std::unique_ptr<listener> m_listener;
};

} // namespace

TEST_CASE("a domain that is cut off keeps running and catches up afterwards")
{
    on_worker(
        [](worker& on)
        {
            auto options = small();
            options.with_faultproxy = true;
            started_cluster system(on, options);
            // Nodes 0, 1, 2 are in the first domain, 127.0.1.*.
            system.set_rules({cut_link("127.0.1.", "127.0.2."),
                              cut_link("127.0.1.", "127.0.3."),
                              cut_link("127.0.1.", "127.0.0."),
                              cut_link("127.0.2.", "127.0.1."),
                              cut_link("127.0.3.", "127.0.1.")});
            const auto accepted =
                system.accept(3, with_weight(system.csv(), 77), 1, "cut");
            REQUIRE(accepted);
            INFO(boost::json::serialize(*accepted));
            REQUIRE(number(*accepted, "http_status") == 200);
            const auto others_at = [&](std::int64_t version)
            {
                for (std::size_t i = 3; i < 9; ++i)
                    if (system.version(i) < version)
                        return false;
                return true;
            };
            CHECK(system.wait_until([&] { return others_at(2); }));
            for (std::size_t i = 0; i < 3; ++i)
                CHECK(system.version(i) == 1);
            // The version counts as in force only once the cut nodes are found
            // dead and all live members have it.
            CHECK(system.wait_until(
                [&]
                {
                    const auto watch = system.get(system.nodes()[4].operators,
                                                  "/v1/watch?version=2");
                    return watch && watch->at("in_force").as_bool();
                }));
            system.set_rules({});
            CHECK(system.wait_for_version(2));
            CHECK(system.wait_until(
                [&]
                {
                    for (std::size_t i = 0; i < 9; ++i)
                        if (!system.knows_all_targets(i))
                            return false;
                    return true;
                }));
        });
}

TEST_CASE("half of the nodes, restarted at once, start with the newest version")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small(12));
            for (std::size_t i = 0; i < 12; i += 2)
                system.nodes()[i].runs.kill();
            const auto accepted =
                system.accept(1, with_weight(system.csv(), 5), 1, "herd");
            REQUIRE(accepted);
            REQUIRE(number(*accepted, "version") == 2);
            for (std::size_t i = 0; i < 12; i += 2)
                REQUIRE(system.restart(i));
            CHECK(system.wait_for_version(2));
        });
}

TEST_CASE("a restarted node serves no version older than that of its peers")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small(6));
            REQUIRE(system.accept(0, with_weight(system.csv(), 5), 1, "x"));
            REQUIRE(system.wait_for_version(2));
            system.set_platform({{"down", true}});
            REQUIRE(system.restart(2));
            // It becomes ready only with version 2, though the source is down.
            CHECK(system.wait_until(
                [&]
                {
                    const auto status = system.status(2);
                    return !status.empty() &&
                           status.at("phase").as_string() == "ready";
                }));
            CHECK(system.version(2) == 2);
        });
}

TEST_CASE("old, corrupt and early updates have no effect")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small(6));
            REQUIRE(system.accept(0, with_weight(system.csv(), 5), 1, "x"));
            REQUIRE(system.wait_for_version(2));
            const auto& node = system.nodes()[3];
            const auto old_table = read_csv(system.csv()).parsed.table;
            const auto push = [&](const table_update& update)
            {
                return send(on, node.rpc, method::push,
                            to_json(push_message{"127.0.0.1:1", update, {}}));
            };
            // A replay of the valid version 1 is old.
            CHECK(push({1, old_table.digest(), "", 0, std::nullopt,
                        write_csv(old_table)}));
            // The next version with a wrong digest is corrupt.
            CHECK(push({3, "00", "", 0, std::nullopt, write_csv(old_table)}));
            // A version far ahead waits and is not applied.
            CHECK(push({9, "00", "00", 0, table_delta{}, std::nullopt}));
            const auto status = system.status(3);
            CHECK(number(status, "version") == 2);
            CHECK(system.wait_until([&] { return system.version(3) == 2; }));
            // The node still applies the valid next version.
            REQUIRE(system.accept(0, with_weight(system.csv(), 6), 2, "y"));
            CHECK(system.wait_for_version(3));
        });
}

TEST_CASE("a second address of a node is detected and causes no loop")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small(6));
            const auto& real = system.nodes()[0];
            const address_alias relay(on, real.rpc);
            member alias_record;
            alias_record.rpc = relay.local();
            alias_record.peer = alias_record.caller = alias_record.operators =
                alias_record.rpc;
            alias_record.place = {"nl-west", "polder-a"};
            alias_record.service = "perceel";
            alias_record.target = real.target;
            alias_record.incarnation = 1;
            REQUIRE(send(on, system.nodes()[1].rpc, method::join,
                         {{"r", to_json(alias_record)}}));
            CHECK(system.wait_until(
                [&]
                {
                    for (std::size_t i = 0; i < 6; ++i)
                        if (number(system.status(i), "members") != 6)
                            return false;
                    return true;
                }));
            REQUIRE(system.accept(0, with_weight(system.csv(), 6), 1, "y"));
            CHECK(system.wait_for_version(2));
        });
}

TEST_CASE("a malformed frame closes only its connection and is counted")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small(3));
            const auto& node = system.nodes()[1];
            CHECK(closes_after(on, node.rpc, "not json\n"));
            CHECK(closes_after(
                on, node.rpc,
                R"({"id":1,"jsonrpc":"2.0","method":"rm","params":{}})"
                "\n"));
            CHECK(closes_after(on, node.rpc, std::string(5'000'000, 'x')));
            CHECK(closes_after(on, node.rpc, std::string(200'000, '[') + "\n"));
            const auto bad =
                send(on, node.rpc, method::heartbeat, {{"v", "not a number"}});
            CHECK_FALSE(bad);
            CHECK(bad.reason().code() == error_code::protocol_error);
            api_client client(on.io(), node.operators);
            const auto metrics =
                client.call("GET", "/metrics", "", std::chrono::seconds(5));
            REQUIRE(metrics);
            for (const auto* counted :
                 {"not_json\"} 2", "unknown_method\"} 1", "too_long\"} 1"})
                CHECK_THAT(
                    metrics->body,
                    Catch::Contains("tillerhall_rpc_bad_frame_total{reason=\"" +
                                    std::string(counted)));
            REQUIRE(system.accept(0, with_weight(system.csv(), 6), 1, "y"));
            CHECK(system.wait_for_version(2));
        });
}

TEST_CASE("a service is added and removed while its targets restart")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small(6));
            const auto early = system.accept(
                0, system.csv() + "nieuw,polder-a,1,1,1,1,0,100,1,no\n", 1,
                "early");
            REQUIRE(early);
            CHECK(number(*early, "http_status") == 422);
            const auto added = system.add_node({"nieuw", "polder-a"});
            system.nodes()[added].target = system.nodes()[0].target;
            REQUIRE(system.restart(added));
            REQUIRE(
                system.wait_until([&] { return system.knows_all_targets(0); }));
            const auto with = system.accept(
                0, system.csv() + "nieuw,polder-a,1,1,1,1,0,1000,1,no\n", 1,
                "with");
            REQUIRE(with);
            CHECK(number(*with, "http_status") == 200);
            CHECK(system.wait_for_version(2));
            system.nodes()[added].runs.kill();
            // A route without a target refuses; no node reverts to the old
            // table.
            caller from(on.io(), system.nodes()[1].caller);
            CHECK(system.wait_until(
                [&]
                {
                    const auto outcome = from.call({"nieuw", "gone"});
                    return outcome.status == 503 &&
                           outcome.outcome == "not-run";
                }));
            REQUIRE(system.restart(added));
            CHECK(
                system.wait_until([&] { return system.version(added) == 2; }));
            CHECK(system.wait_until(
                [&] {
                    return from.call({"nieuw", "back"}).is_good();
                }));
            const auto without = system.accept(0, system.csv(), 2, "without");
            REQUIRE(without);
            CHECK(system.wait_for_version(3));
            CHECK(from.call({"nieuw", "after"}).status == 404);
        });
}

TEST_CASE("a node that was paused catches up before it takes calls")
{
    on_worker(
        [](worker& on)
        {
            started_cluster system(on, small(6));
            auto& paused = system.nodes()[2];
            paused.runs.send(SIGSTOP);
            CHECK(system.wait_until(
                [&]
                {
                    const auto status = system.status(0);
                    return number(status, "members") == 5;
                }));
            REQUIRE(system.accept(0, with_weight(system.csv(), 5), 1, "x"));
            sleep_for(on.io(), std::chrono::seconds(3));
            paused.runs.send(SIGCONT);
            // The first call after the pause is refused or finds it up to date.
            caller from(on.io(), paused.caller);
            const auto first = from.call({"perceel", "first"});
            CHECK((first.outcome == "not-run" || system.version(2) == 2));
            CHECK(system.wait_until([&] { return system.version(2) == 2; }));
            CHECK(system.wait_until(
                [&]
                {
                    return system.knows_all_targets(0) &&
                           from.call({"perceel", "later"}).is_good();
                }));
        });
}
