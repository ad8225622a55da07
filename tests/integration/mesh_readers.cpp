/** @file Readers of failure domains, and the nodes that listen to them. */
#include "mesh_system.hpp"

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

const std::vector<mesh_route> first_routes{{"fields", "/fields/", "perceel"}};

/** Three domains of two hosts each: host i and host i + 3 share one. */
struct three_domains : mesh_system
{
    explicit three_domains(worker& on)
        : mesh_system(on, std::vector<std::string>(6, "perceel"))
    {
        configure(1, first_routes);
        start();
        REQUIRE(wait_until([&] { return listening() == 3; }));
    }

    /** Returns the role that the node's metrics show: "rely", "follow" or
     * "speak". */
    std::string role_of(mesh_host& host)
    {
        const auto metrics = metrics_of(host);
        for (const std::string role : {"rely", "follow", "speak"})
            if (metrics.find("tillerhall_store_duty{duty=\"" + role +
                             "\"} 1") != std::string::npos)
                return role;
        return "";
    }

    long listening()
    {
        return std::ranges::count_if(hosts(), [&](mesh_host& each)
                                     { return role_of(each) == "rely"; });
    }

    /** Returns true if @p host has a route for @p path in force. */
    bool has_route(mesh_host& host, const std::string& path)
    {
        const auto status = call(host, "k", path).status;
        return status != 404 && status != 0;
    }

    /** Adds a route to the configuration. */
    void add_route(int version, const std::string& name)
    {
        m_routes.push_back({name, "/" + name + "/", "perceel"});
        configure(version, m_routes);
    }

    /** Returns the reader of domain @p domain and the domain's other host. */
    std::pair<mesh_host*, mesh_host*> pair_of(std::size_t domain)
    {
        auto* first = &hosts()[domain];
        auto* second = &hosts()[domain + 3];
        if (role_of(*first) == "rely")
            std::swap(first, second);
        return {first, second};
    }

private:
    std::vector<mesh_route> m_routes = first_routes;
};

} // namespace

TEST_CASE("one node per domain asks the store and updates the others")
{
    on_worker(
        [](worker& on)
        {
            three_domains system(on);
            for (int version = 2; version < 6; ++version)
            {
                const auto name = "v" + std::to_string(version);
                system.add_route(version, name);
                for (auto& each : system.hosts())
                    CHECK(system.wait_until(
                        [&]
                        { return system.has_route(each, "/" + name + "/x"); }));
            }
        });
}

TEST_CASE("a start reads the members' rows twice and writes its own row once")
{
    on_worker(
        [](worker& on)
        {
            three_domains system(on);
            sleep_for(on.io(), std::chrono::seconds(6));
            // The three readers also follow the rows, with a pause after
            // changes.
            constexpr std::uint64_t followed = 3 * 4;
            CHECK(system.store().calls_on("members") <= 6 * 3 + followed);
            for (auto& each : system.hosts())
                CHECK(system.role_of(each) != "follow");
        });
}

TEST_CASE("a node whose reader stops sending asks the store itself")
{
    on_worker(
        [](worker& on)
        {
            three_domains system(on);
            const auto [reader, neighbour] = system.pair_of(1);
            reader->node.send(SIGSTOP);
            system.add_route(2, "new");
            CHECK(system.wait_until(
                [&] { return system.has_route(*neighbour, "/new/x"); }));
            CHECK(system.wait_until(
                [&] { return system.role_of(*neighbour) == "speak"; }));
            reader->node.send(SIGCONT);
            CHECK(system.wait_until([&] { return system.listening() == 3; }));
            CHECK(system.wait_until(
                [&] { return system.has_route(*reader, "/new/x"); }));
        });
}

TEST_CASE("a killed reader is replaced and resumes its role after a restart")
{
    on_worker(
        [](worker& on)
        {
            three_domains system(on);
            const auto [reader, neighbour] = system.pair_of(0);
            reader->node.kill();
            system.add_route(2, "new");
            CHECK(system.wait_until(
                [&] { return system.has_route(*neighbour, "/new/x"); }));
            system.start_node(*reader);
            CHECK(system.wait_until(
                [&] { return system.has_route(*reader, "/new/x"); }));
            CHECK(system.wait_until([&] { return system.listening() == 3; }));
        });
}

TEST_CASE("no node listens during a store outage, and all recover after it")
{
    on_worker(
        [](worker& on)
        {
            three_domains system(on);
            system.store().faults().down = true;
            CHECK(system.wait_until([&] { return system.listening() == 0; }));
            system.add_route(2, "new");
            system.store().faults().down = false;
            for (auto& each : system.hosts())
                CHECK(system.wait_until(
                    [&] { return system.has_route(each, "/new/x"); }));
            CHECK(system.wait_until([&] { return system.listening() == 3; }));
        });
}

TEST_CASE("a start of all nodes costs few store calls per node")
{
    // Guards against refused writes that are retried faster than the partition
    // of the store drains.
    on_worker(
        [](worker& on)
        {
            constexpr std::size_t nodes = 12;
            mesh_system system(on, std::vector<std::string>(nodes, "perceel"));
            system.store().faults().writes_per_s = 4;
            system.configure(1, first_routes);
            system.start();
            REQUIRE(system.wait_until(
                [&]
                { return system.store().values("members").size() == nodes; },
                std::chrono::seconds(30)));
            // A read, three writes, one read of the changes, a reader's feed.
            CHECK(system.store().calls_on("members") <= 6 * nodes);
            for (auto& each : system.hosts())
                CHECK(system.call(each, "s", "/fields/x").status == 200);
        });
}
